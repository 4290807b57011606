"""Tests of the sampling of request lines in the gateway's log."""

from __future__ import annotations

import json
import os
import time

from halldoor.gateway.eventlog import EventLog


def log_and_read(calls, *, pause_s=0.0):
    """Log requests with the given fields and return the lines written."""
    read_end, write_end = os.pipe()
    log = EventLog("e1", fd=write_end)
    for i, fields in enumerate(calls):
        log.request(f"id{i}", **fields)
        if pause_s:
            time.sleep(pause_s)
    log.close(timeout_s=2.0)
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        return [json.loads(line) for line in lines]


def build_success(took_ms=50, aim_ms=300):
    """Return the log fields of a successful request."""
    return {"status": 200, "outcome": "answered", "took_ms": took_ms, "aim_ms": aim_ms}


class TestSampling:
    def test_entry_under_low_load_logs_every_request(self):
        """Regression: one in 64 was logged at any load, so 26 of 1,870 late ones had a line."""
        lines = log_and_read([build_success()] * 10, pause_s=0.01)
        assert [line["stands_for"] for line in lines] == [1] * 10

    def test_entry_under_high_load_logs_a_weighted_sample(self):
        lines = log_and_read([build_success()] * 2_000)
        assert len(lines) < 400
        assert 1_000 < sum(line["stands_for"] for line in lines) < 4_000

    def test_late_and_failed_requests_are_always_logged(self):
        busy = [build_success()] * 1_000
        lines = log_and_read(
            [*busy, build_success(took_ms=400), {"status": 429, "outcome": "over"}]
        )
        assert {"id1000", "id1001"} <= {line["id"] for line in lines}
        assert lines[-1]["stands_for"] == 1


def test_flood_of_one_line_displaces_others():
    """10,000 odd records took the log's whole rate: no other line was written for 100 s."""
    read_end, write_end = os.pipe()
    log = EventLog("e1", fd=write_end)
    for i in range(10_000):
        log.event("store", "Ignores a bad record.", key=f"servers/odd{i}")
    log.event("process", "A task failed.")
    log.close(timeout_s=2.0)
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        written = [json.loads(line) for line in lines]
    assert written[-1]["event"] == "process: A task failed."
    assert sum(line.get("dropped_before", 0) for line in written) == 10_001 - len(written)
