"""``halldoor explain`` and ``report``: whether entries refused requests rightly."""

from __future__ import annotations

import json

import pytest

from halldoor.core.explaining.history import parse_lines
from halldoor.core.explaining.refusals import judge_refusals
from halldoor.core.explaining.report import build_report, describe_report

ASKED = {"host": "titi46.example", "path": "/eq7miwe7/"}


def write(at, entry, event, *, is_collected=True, **fields):
    """Write a log line; entries' own clocks differ."""
    own = {"event": event, "at": at + sum(entry.encode()), "entry": entry}
    prefix = f"{at} {entry} " if is_collected else ""
    return prefix + json.dumps(own | ({} if is_collected else {"unix_s": 1e9 + at}) | fields)


def write_routing(at, entry, version, **options):
    return write(at, entry, "routing: In force.", version=version, **options)


def refuse(at, entry, version, attempt_id="denied", **fields):
    fields = {"status": 404, "outcome": "no route", "limit_ms": 3_000} | ASKED | fields
    return write(at, entry, "request: Ended.", id=attempt_id, version=version, **fields)


def judge(*lines):
    """Return the verdict on the refusal, and its reason."""
    (sentence,) = judge_refusals(list(parse_lines(lines)), "denied")
    return sentence.split(": ", 1)


BEFORE = [write_routing(10.0, name, 8) for name in ("e1", "e2", "e3")]


@pytest.mark.parametrize("is_collected", [True, False])
def test_refusal_by_an_old_configuration_looks_right(is_collected):
    """The lines of a wrong refusal and of a right one were the same."""
    lines = [
        write_routing(at, entry, version, is_collected=is_collected)
        for at, entry, version in [(10.0, "e1", 8), (10.0, "e2", 8), (38.0, "e2", 15)]
    ]
    denied = refuse(42.4, "e1", 8, proven_age_ms=6300, is_collected=is_collected)
    served = {"id": "denied", "status": 200, "route": "r1", "version": 15, "target": "t1"}
    served = write(43.0, "e2", "request: Ended.", is_collected=is_collected, **served)
    verdict, reason = judge(*lines, denied, served)
    assert verdict == "WRONG"
    assert "1 other entries had a newer one" in reason and "(e2 15 for 4.4 s)" in reason
    assert "knew all changes until 6.3 s before" in reason
    assert "e2 had route r1 for it, by configuration 15" in reason


@pytest.mark.parametrize(
    ("lines", "verdict", "reason"),
    [
        (BEFORE, "RIGHT", "none of 2 other entries had a newer"),
        ([*BEFORE, write_routing(40.0, "e2", 15)], "RIGHT", "2.4 s at most, within the bound"),
        (
            [*BEFORE, write_routing(30.0, "e2", 15), refuse(41.0, "e2", 15, "other")],
            "RIGHT",
            "but e2 refused the same path by 15",
        ),
        (
            [*BEFORE, write(40.0, "e2", "request: Ended.", id="x", status=200, version=15)],
            "NOT KNOWN",
            "2.4 s or longer",
        ),
        ([*BEFORE, write(30.0, "e2", "process: Stopped.")], "RIGHT", "none of 1 other entries had"),
        ([*BEFORE, write_routing(50.0, "e4", 15)], "NOT KNOWN", "(1 more are not known)"),
        ([*BEFORE, write(50.0, "e4", "process: Started.")], "RIGHT", "none of 2 other entries"),
        (BEFORE[:1], "NOT KNOWN", "Pass the logs of all"),
    ],
)
def test_refusal_is_judged_without_evidence(lines, verdict, reason):
    found, text = judge(*lines, refuse(42.4, "e1", 8))
    assert found == verdict and reason in text


def test_refusal_by_a_version_that_is_too_great_looks_newest():
    """Operators wrote 9000 by mistake, then 16: the configuration written last is in force."""
    lines = [
        write_routing(at, entry, version, revision=revision)
        for at, entry, version, revision in [(9, "e1", 9000, 90), (9, "e2", 9000, 90)]
    ]
    later = write_routing(20.0, "e2", 16, revision=120)
    verdict, reason = judge(*lines, later, refuse(42.4, "e1", 9000, revision=90))
    assert verdict == "WRONG" and "(e2 16 for 22.4 s)" in reason
    verdict, _ = judge(*lines, later, refuse(42.4, "e1", 16, revision=121))
    assert verdict == "RIGHT"


def test_refusal_for_another_reason_is_judged_by_the_configuration():
    line = refuse(42.4, "e1", 8, status=413, outcome="body too long")
    assert judge_refusals(list(parse_lines([*BEFORE, line])), "denied") == []


def test_report_lists_no_refusals():
    """Refused requests have no service, so that the report left them out."""
    lines = [refuse(42.4, "e1", 8), refuse(43.0, "e1", 8, stands_for=4), refuse(44.0, "e1", 15)]
    text = "\n".join(describe_report(build_report(parse_lines(lines))))
    assert "       5  404 no route, e1, 8\n" in text and "       1  404 no route, e1, 15" in text
