"""Tests of whether an entry notices that it can open no connection to any target, and says so.

Entries cut off from all targets ejected one target after the other, and no log line, metric or
report told that from targets that had crashed.
"""

from __future__ import annotations

import random

import pytest

from halldoor.core.explaining.history import parse_lines
from halldoor.core.explaining.report import build_report, describe_report
from halldoor.core.settings import Address
from halldoor.core.targets.changes import TargetRecord
from halldoor.core.targets.reach import (
    FAILURE_KEPT_S,
    FEW_PROBES,
    PROBES,
    ROUND_PAUSE_S,
    ReachMonitor,
)
from halldoor.core.targets.target import Target


def make_targets(*, services=2, halls=2, each=3):
    records = [
        TargetRecord(f"{s}{h}{i}", f"s{s}", Address("127.0.0.1", 1), f"h{h}", 6, False, 0.0)
        for s in range(services)
        for h in range(halls)
        for i in range(each)
    ]
    return [Target(record, 0.0) for record in records]


def fail_all(monitor, now):
    """Apply a round in which every probe fails; return whether it changed the state."""
    return monitor.add_round({"a": "x", "b": "x"}, now, began_at=now - 0.3)


class TestMonitor:
    def test_one_failing_target_is_not_probed(self):
        monitor = ReachMonitor()
        for i in range(5):
            monitor.add_failure("t0", "refused", i / 10)
        assert not monitor.is_round_due(1.0)

    def test_round_that_reaches_a_target_ends_the_suspicion(self):
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 0.0)
        monitor.add_failure("t1", "refused", 0.1)
        assert monitor.is_round_due(0.1)
        assert not monitor.add_round({"t2": "x", "t3": ""}, 0.4, began_at=0.1)
        assert monitor.loss is None
        assert not monitor.is_suspected

    def test_failures_long_apart_are_not_one_suspicion(self):
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 0.0)
        monitor.add_failure("t1", "refused", FAILURE_KEPT_S + 0.1)
        assert not monitor.is_suspected

    def test_answer_over_a_new_connection_ends_the_suspicion(self):
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 1.0)
        monitor.add_answer(1.2)
        monitor.add_failure("t1", "refused", 1.3)
        assert monitor.is_suspected
        monitor.add_answer(1.5, opened_at=1.4)
        assert not monitor.is_suspected

    def test_loss_dates_from_the_first_failure(self):
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 1.0)
        monitor.add_failure("t1", "refused", 1.1)
        assert fail_all(monitor, 1.5)
        assert monitor.loss.since == 1.0
        assert set(monitor.loss.causes) == {"t0", "t1", "a", "b"}

    def test_silence_is_probed_only_while_a_request_waits(self):
        monitor = ReachMonitor()
        monitor.add_answer(0.0)
        assert not monitor.is_round_due(10.0)
        wait = monitor.start_wait(10.0)
        assert not monitor.is_round_due(10.3)
        assert monitor.is_round_due(10.5)
        monitor.end_wait(wait)
        assert not monitor.is_round_due(10.5)

    def test_probes_in_usual_silence_become_rare(self):
        """At a low rate of requests nothing arrives for longer than a request takes."""
        monitor, rounds = ReachMonitor(), 0
        monitor.start_wait(0.0)
        for i in range(600):
            if monitor.is_round_due(i / 10):
                rounds += 1
                monitor.add_round({"t0": ""}, i / 10, began_at=i / 10)
        assert rounds <= 6

    def test_round_without_results_changes_nothing(self):
        """The process stood still during the round, or no target is known."""
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 0.0)
        monitor.add_failure("t1", "refused", 0.1)
        assert not monitor.add_round({}, 1.0, began_at=0.7)
        assert monitor.loss is None
        assert monitor.is_round_due(1.0)

    @pytest.mark.parametrize("period_s", [0.5, 1.0, 2.0])
    def test_flapping_costs_few_changes(self, period_s):
        """Probes succeed and fail in turn for a minute."""
        monitor, changes, now = ReachMonitor(), 0, 0.0
        while now < 60.0:
            if int(now / period_s) % 2 == 0:
                for name in ("t0", "t1"):
                    monitor.add_failure(name, "refused", now)
            is_up = int(now / period_s) % 2 == 1
            if monitor.is_round_due(now):
                changes += monitor.add_round({"a": "" if is_up else "x"}, now, began_at=now)
            now += 0.1
        assert changes <= 7

    def test_return_takes_no_hold_after_one_loss(self):
        monitor = ReachMonitor()
        monitor.add_failure("t0", "refused", 0.0)
        monitor.add_failure("t1", "refused", 0.0)
        assert fail_all(monitor, 0.3)
        assert not monitor.is_round_due(0.3 + ROUND_PAUSE_S / 2)
        assert monitor.is_round_due(0.3 + ROUND_PAUSE_S)
        assert monitor.add_round({"a": "", "b": ""}, 12.0, began_at=11.9)
        assert monitor.loss is None


@pytest.mark.parametrize("seed", range(5))
def test_probes_are_of_all_halls_and_services(seed):
    monitor = ReachMonitor()
    for name in ("000", "001"):
        monitor.add_failure(name, "refused", 0.0)
    chosen = monitor.choose_probes(make_targets(), random.Random(seed))
    assert len({t.name for t in chosen}) == PROBES
    assert len({t.record.hall for t in chosen}) == 2
    assert len({t.record.service for t in chosen}) == 2
    assert not {t.name for t in chosen} & {"000", "001"}


def test_silence_alone_costs_few_probes():
    chosen = ReachMonitor().choose_probes(make_targets(), random.Random(1))
    assert len(chosen) == FEW_PROBES
    assert len({t.record.hall for t in chosen}) == 2


def test_report_lists_when_which_entry_reached_no_target():
    log = [
        '{"event": "process: Started.", "at": 10.0, "entry": "e1"}',
        '{"event": "reach: No target can be reached.", "at": 12.0, "entry": "e1",'
        ' "since_ms": 700, "causes": {"t1": "TimeoutError", "t2": "TimeoutError"}}',
        '{"event": "reach: Targets can be reached again.", "at": 24.0, "entry": "e1",'
        ' "for_s": 12.7}',
    ]
    report = build_report(parse_lines(log))
    (period,) = report.unreached
    assert period == ("e1", pytest.approx(1.3), 12.7, (("TimeoutError", 2),))
    assert any("e1: for 12.70; TimeoutError 2" in line for line in describe_report(report))
