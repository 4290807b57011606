"""``halldoor explain``: what happened to a request, from log lines."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from halldoor.core.explaining.history import explain_request, parse_lines

LINES = [
    '-1.0 e1 {"event": "routing: In force.", "at": 10.0, "entry": "e1", "version": 7}',
    '{"event": "targets: Ejected a failing target.", "at": 11.0, "entry": "e1", "target": "t2"}',
    '{"event": "targets: Ejected a failing target.", "at": 11.0, "entry": "e2", "target": "t1"}',
    '{"event": "request: Ended.", "at": 11.5, "entry": "e1", "id": "a0", "status": 200, '
    '"outcome": "another request", "target": "t2", "attempts": []}',
    "no JSON at all",
    '{"event": "request: Ended.", "at": 12.0, "entry": "e1", "route": "r", "service": "s", '
    '"key": "k", "target": "", "took_ms": 20, "attempts": [{"target": "t2", "result": "answer '
    'lost", "detail": "reset", "took_ms": 18, "in_flight": 3, "load": 1.5, "load_age_ms": 90, '
    '"is_cold": false}], "version": 7, "store_age_ms": 400, "id": "a1", "status": 502, '
    '"outcome": "t2: answer lost, reset"}',
    '{"event": "request: Ended.", "at": 13.0, "entry": "e1", "id": "a2", "status": 503, '
    '"outcome": "no room cold=4", "attempts": [], "target": ""}',
]


def test_lost_answer_is_explained_with_earlier_changes_of_state():
    text = "\n".join(explain_request(parse_lines(LINES), "a1"))
    assert "answered 502 after 20 ms" in text
    assert "It may have run" in text
    assert "Target t2: answer lost (reset) after 18 ms; 3 in flight" in text
    assert "load 1.5, 90 ms old" in text and "last contact with the store 400 ms before" in text
    assert "1.00 s before, targets: Ejected a failing target. target t2" in text
    assert "2.00 s before, routing: In force. version 7" in text
    assert "t1" not in text
    assert "another request" not in text


@pytest.mark.parametrize(
    ("age", "text"), [("null", "no load reported"), ("900", "too old to count (900 ms)")]
)
def test_missing_or_old_load_report_is_named(age, text):
    lines = [line.replace('"load_age_ms": 90', f'"load_age_ms": {age}') for line in LINES]
    assert text in "\n".join(explain_request(parse_lines(lines), "a1"))


def test_refused_request_is_explained_as_not_run():
    text = "\n".join(explain_request(parse_lines(LINES), "a2"))
    assert "no room cold=4" in text and "It did not run" in text


def test_command_reads_standard_input_and_names_the_remedy():
    command = [sys.executable, "-m", "halldoor.cli.operator", "explain", "--log", "-"]
    text = "\n".join(LINES)
    found = subprocess.run(
        [*command, "a1"], check=False, input=text, capture_output=True, text=True
    )
    assert found.returncode == 0 and "may have run" in found.stdout
    missing = subprocess.run(
        [*command, "nope"], check=False, input=text, capture_output=True, text=True
    )
    assert missing.returncode == 2 and "every entry" in missing.stderr


def test_request_is_found_in_the_logs_of_several_entries(tmp_path):
    """A refused caller retries at another entry with the same id: both entries are named."""
    logs = [tmp_path / f"{name}.log" for name in ("e1", "e2", "e3")]
    for log, status in zip(logs, (503, 200, 404), strict=True):
        fields = {"at": 5.0, "entry": log.stem, "status": status, "target": "t1"}
        fields["id"] = "other" if status == 404 else "a1"
        log.write_text(json.dumps({"event": "request: Ended.", **fields}) + "\n")
    command = [sys.executable, "-m", "halldoor.cli.operator", "explain", "a1", "--fleet", *logs]
    done = subprocess.run(command, check=False, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    text = done.stdout
    assert text.startswith("2 entries name it: e1, e2.")
    assert "Entry e1 answered 503" in text and "Entry e2 answered 200" in text
    assert "e3" not in text
