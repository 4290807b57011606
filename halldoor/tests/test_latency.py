"""Estimates of travel, work and load from an entry's answers and targets' reports."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.latency import KEY_PAIRS_KEPT, LatencyModel
from halldoor.core.targets.load import (
    AVERAGE_DECAY_MIN_S,
    REPORT_DECAY_MIN_S,
    REPORT_DECAY_WORKS,
    DecayTimes,
    LoadReport,
    LoadTable,
)


class TestLatencyModel:
    def test_warm_and_cold_work_are_estimated_separately(self):
        """Other entries have warmed most new keys; only a few answers show the cold work."""
        model = LatencyModel()
        for i in range(60):
            for n, took_s in enumerate((0.36 if i % 5 == 0 else 0.11, 0.10, 0.12, 0.11)):
                model.add_answer(
                    "s/r", f"t{i}", "a", "k", took_s=took_s + n / 1e4, has_waited=False
                )
        levels = model.get_levels("s/r")
        assert levels.warm_s == pytest.approx(0.11, abs=0.01)
        assert levels.cold_s == pytest.approx(0.36, abs=0.01)
        assert levels.warm_s < levels.mean_s < levels.cold_s

    def test_travel_time_is_not_counted_as_work(self):
        model = LatencyModel()
        model.add_connect("far", 0.04)
        model.add_answer("s/r", "t", "far", "k", took_s=0.14, has_waited=False)
        assert model.get_levels("s/r").warm_s == pytest.approx(0.1)

    def test_answers_that_waited_are_not_counted_as_work(self):
        model = LatencyModel()
        unknown = model.get_levels("s/r")
        model.add_answer("s/r", "t", "a", "k", took_s=0.9, has_waited=True)
        assert model.get_levels("s/r") == unknown
        assert model.has_answered("t", "k")

    def test_shorter_round_trip_counts_at_once_and_longer_one_slowly(self):
        model = LatencyModel()
        for took_s in (0.3, 0.04, 0.3):
            model.add_connect("far", took_s)
        assert 0.04 < model.get_travel("far") < 0.1

    def test_remembered_keys_are_bounded_and_the_oldest_is_dropped(self):
        model = LatencyModel()
        for i in range(KEY_PAIRS_KEPT + 10):
            model.add_answer("s/r", "t", "a", str(i), took_s=0.1, has_waited=True)
        assert not model.has_answered("t", "9")
        assert model.has_answered("t", "10")


class TestDecayTimes:
    @given(gap_s=st.floats(0.0, 1000.0), work_s=st.floats(0.001, 10.0))
    def test_decay_times_stay_within_their_bounds(self, gap_s, work_s):
        fade = DecayTimes.from_pace(gap_s=gap_s, work_s=work_s)
        assert (
            REPORT_DECAY_MIN_S
            <= fade.news_s
            <= max(REPORT_DECAY_MIN_S, REPORT_DECAY_WORKS * work_s)
        )
        assert fade.habit_s >= AVERAGE_DECAY_MIN_S
        assert fade.news_s < fade.stale_after_s

    @pytest.mark.parametrize(("targets", "is_long"), [(4, False), (400, True)])
    def test_report_decays_more_slowly_if_reports_of_a_target_are_rarer(self, targets, is_long):
        """Reports arrive every 50 ms: of each of 4 targets every 0.2 s, of 400 every 20 s."""
        loads = LoadTable()
        for i in range(40):
            loads.add(f"t{i % 4}", LoadReport(6, 6, 6), i * 0.05, own=0, service="s")
            loads.update_decay("s", targets=targets, work_s=0.5)
        later = loads.estimate_others("t3", 39 * 0.05 + 2.0)
        assert (later > 6.0) is is_long


class TestLoadTable:
    def test_own_requests_are_deducted_from_the_reported_ones(self):
        loads = LoadTable()
        loads.add("t", LoadReport(5, 3, 5), 1.0, own=2)
        assert loads.estimate_others("t", 1.0) == 6.0
        assert loads.get_load("t") == 1.6
        assert loads.estimate_others("other", 1.0) == 0.0

    def test_report_decays_to_the_average_and_then_to_zero(self):
        loads = LoadTable()
        for i in range(30):
            loads.add("t", LoadReport(3, 0, 5), i / 10, own=1)
        loads.add("t", LoadReport(5, 5, 5), 3.0, own=1)
        now, soon, later = (loads.estimate_others("t", 3.0 + s) for s in (0.0, 0.6, 30.0))
        assert now == 9.0
        assert 2.0 < soon < 4.0
        assert later < 0.01

    def test_pressure_starts_at_the_first_report_and_changes_slowly(self):
        """Regression: after a start all targets looked idle, and keys were sent to cold ones."""
        loads = LoadTable()
        loads.add("t", LoadReport(5, 5, 5), 0.0, own=0)
        assert loads.get_pressure("t") == 2.0
        loads.add("t", LoadReport(1, 0, 5), 0.1, own=0)
        assert loads.get_pressure("t") > 1.5
        for i in range(60):
            loads.add("t", LoadReport(1, 0, 5), i / 10, own=0)
        assert loads.get_pressure("t") < 0.3
