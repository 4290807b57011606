"""``halldoor report``: slow, refused and failed requests, from log lines."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from halldoor.core.explaining.history import parse_lines
from halldoor.core.explaining.report import RequestOutcome, build_report, describe_report


def make_line(*, at=10.0, status=200, took_ms=90, stands_for=64, outcome="answered", **attempt):
    attempts = [
        {"target": "t1", "result": "answered", "took_ms": took_ms, "connect_ms": 0}
        | {"distance": "far", "place": 0, "has_sent_key": False, "is_cold": False}
        | {"expected_ms": 80}
        | attempt
    ]
    fields = {"at": at, "entry": "e1", "service": "deck", "aim_ms": 100, "status": status}
    fields |= {"took_ms": took_ms, "stands_for": stands_for, "outcome": outcome}
    return json.dumps({"event": "request: Ended.", "attempts": attempts, **fields})


LINES = [
    json.dumps({"event": "process: Started.", "at": 8.0, "entry": "e1"}),
    make_line(),
    make_line(took_ms=300, place=1),
    make_line(at=13.0, status=503, stands_for=1, outcome="no room late=1", result="not run"),
    make_line(at=13.1, status=502, stands_for=1, outcome="t1: answer lost, reset", result="lost"),
    "not a line of ours",
]


def make_lost_line(digest, target, *, entry="e1", result="answer lost"):
    line = json.loads(make_line(status=502, stands_for=1, result=result))
    line["attempts"][0]["target"] = target
    return json.dumps(line | {"digest": digest, "entry": entry})


class TestSuspects:
    def test_targets_lost_at_several_entries_are_added_up_per_request(self):
        lines = [
            make_lost_line("d1", "t1"),
            make_lost_line("d1", "t2", entry="e2"),
            make_lost_line("d1", "t2", entry="e3"),
            make_lost_line("d1", "t3", entry="e3", result="answered"),
            make_lost_line("d2", "t1"),
        ]
        report = build_report(parse_lines(lines))
        assert report.suspects == [("d1", "deck", 2, 3, 1)]
        assert "       2  d1 (deck) at 3 entries, answered 1" in describe_report(report)

    def test_request_that_lost_one_target_is_not_listed(self):
        report = build_report(parse_lines([make_lost_line("d2", "t1")]))
        assert report.suspects == []
        assert not any("lost while running" in line for line in describe_report(report))


def make_move_line(at, entry, *, before, after, reason="spilled"):
    fields = {"at": at, "entry": entry, "origin": "ams", "moved": 0.5, "version": 7}
    fields |= {"before": before, "after": after, "reason": reason, "store_age_ms": 410}
    return json.dumps({"event": "flow: Moved between regions.", **fields})


class TestMoves:
    def test_moves_of_entries_are_added_up_by_window(self):
        lines = [
            json.dumps({"event": "process: Started.", "at": 8.0, "entry": "e1"}),
            json.dumps({"event": "process: Started.", "at": 108.0, "entry": "e2"}),
            make_move_line(11.0, "e1", before={"ams": 10}, after={"ams": 4, "grq": 6}),
            make_move_line(111.9, "e2", before={"ams": 10}, after={"ams": 10}, reason="retried"),
            make_move_line(17.0, "e1", before={"ams": 2}, after={"grq": 2}),
        ]
        report = build_report(parse_lines(lines))
        (first, second) = report.moves
        assert (first.since_start_s, first.entries, first.part) == (2.0, 2, 0.3)
        assert (first.after, first.reasons) == ({"ams": 14, "grq": 6}, {"spilled": 1, "retried": 1})
        assert (second.since_start_s, second.part) == (8.0, 1.0)
        (told,) = [line for line in describe_report(report) if "0.30 moved" in line]
        assert (
            "ams 20 before, ams 14 grq 6 after; version 7, last contact with the store up to 410 ms"
        ) in told

    def test_move_line_without_counts_is_accepted(self):
        line = json.dumps({"event": "flow: Moved between regions.", "at": 1.0, "entry": "e1"})
        (move,) = build_report(parse_lines([line])).moves
        assert (move.part, move.versions) == (0.0, ())


class TestReport:
    def test_requests_are_counted_by_outcome(self):
        report = build_report(parse_lines(LINES))
        (service,) = report.services
        assert service.counts == {
            RequestOutcome.IN_AIM: 64,
            RequestOutcome.LATE: 64,
            RequestOutcome.REFUSED: 1,
            RequestOutcome.FAILED: 1,
        }
        assert (service.total, service.median_ms, service.high_ms) == (130, 90, 300)

    def test_moments_are_relative_to_the_start_of_the_entry(self):
        again = json.dumps({"event": "process: Started.", "at": 1.0, "entry": "e1"})
        lines = [*LINES, again, make_line(at=1.5)]
        report = build_report(parse_lines(lines))
        totals = {t.group[0]: t.total for t in report.moments}
        assert totals == {"0000.0": 64, "0002.0": 128, "0004.0": 2}

    def test_attempts_are_grouped_by_distance_and_warmth(self):
        report = build_report(parse_lines(LINES))
        groups = {a.group: (a.total, a.took_ms) for a in report.attempts}
        assert groups == {
            ("deck", "far", "first choice"): (64, 90),
            ("deck", "far", "cold"): (64, 300),
        }

    def test_reasons_omit_the_name_of_the_target(self):
        report = build_report(parse_lines(LINES))
        assert report.reasons == [
            ("deck", "503 no room late=1", 1),
            ("deck", "502 answer lost, reset", 1),
        ]

    def test_empty_log_gives_a_report(self):
        assert describe_report(build_report([]))

    @pytest.mark.parametrize("output", ["text", "json"])
    def test_command_reads_log_files(self, tmp_path, output):
        log = tmp_path / "entry.log"
        log.write_text("\n".join(LINES))
        command = [sys.executable, "-m", "halldoor.cli.operator", "report"]
        done = subprocess.run(
            [*command, str(log), "--output", output], check=False, capture_output=True, text=True
        )
        assert done.returncode == 0, done.stderr
        assert "first choice" in done.stdout
        missing = subprocess.run(command, check=False, capture_output=True, text=True)
        assert missing.returncode == 2 and "No log was given" in missing.stderr


ODD_LINES = [
    '{"event": "a: b", "at": "x"}',
    '{"event": "a: b", "at": [1]}',
    '{"event": "a: b", "at": 1e999}',
    '{"event": ' + "[" * 100_000,
    '{"event": "request: Ended.", "service": "s", "status": "x"}',
    '{"event": "request: Ended.", "service": "s", "status": ' + "9" * 5_000 + "}",
    '{"event": "targets: Seen.", "revision": "x"}',
    '{"event": "flow: Moved between regions.", "before": 5}',
    '{"event": "request: Ended.", "service": "s", "status": 200, "took_ms": 5, "attempts": 5}',
]


@pytest.mark.parametrize("line", ODD_LINES, ids=range(len(ODD_LINES)))
def test_odd_log_line_ends_the_report(line):
    """It is left out and counted; the others are reported."""
    sound = make_lost_line("d1", "t1")
    odd = []
    report = build_report(parse_lines([sound, line, sound], on_odd=odd.append))
    assert describe_report(report) == describe_report(build_report(parse_lines([sound, sound])))
    assert len(odd) == 1
