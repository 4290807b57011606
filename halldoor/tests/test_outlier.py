"""Ejection of failing and slow targets, and their trial after it."""

from __future__ import annotations

from halldoor.core.targets.outlier import EJECT_S, SLOW_SAMPLES, OutlierTable


def warm_up(table, targets=("t1", "t2", "t3")):
    for _ in range(60):
        for name in targets:
            table.add_success(name, "deck", 0.1, 0.0)


class TestEjection:
    def test_two_failures_in_a_row_eject_and_one_does_not(self):
        table = OutlierTable()
        assert not table.add_failure("t1", 1.0)
        table.add_success("t1", "deck", 0.1, 1.1)
        assert not table.add_failure("t1", 1.2)
        assert table.add_failure("t1", 1.3)
        assert table.is_ejected("t1", 1.4)

    def test_three_answers_out_of_time_eject(self):
        table = OutlierTable()
        ejected = [table.add_failure("t1", 1.0, is_slow=True) for _ in range(3)]
        assert ejected == [False, False, True]

    def test_target_that_fails_after_an_ejection_is_ejected_at_once_for_longer(self):
        table = OutlierTable()
        table.add_failure("t1", 0.0, is_unreachable=True)
        back = EJECT_S + 0.01
        assert not table.is_ejected("t1", back)
        assert table.is_on_trial("t1")
        assert table.add_failure("t1", back)
        assert table.is_ejected("t1", back + 1.9 * EJECT_S)

    def test_successful_answer_ends_the_trial(self):
        table = OutlierTable()
        table.add_failure("t1", 0.0, is_unreachable=True)
        table.add_success("t1", "deck", 0.1, 2.0)
        assert not table.is_on_trial("t1")

    def test_answer_of_unknown_duration_ends_the_trial(self):
        table = OutlierTable()
        table.add_failure("t1", 0.0, is_unreachable=True)
        table.add_untimed_success("t1")
        assert not table.is_on_trial("t1")
        assert not table.add_failure("t1", 3.0)


class TestSlowTargets:
    def test_a_target_much_slower_than_its_service_is_ejected(self):
        table = OutlierTable()
        warm_up(table)
        results = [table.add_success("t1", "deck", 0.6, 1.0) for _ in range(SLOW_SAMPLES)]
        assert any(results)
        assert table.is_ejected("t1", 1.1)
        assert not table.is_ejected("t2", 1.1)

    def test_one_cold_answer_does_not_eject(self):
        table = OutlierTable()
        warm_up(table)
        assert not table.add_success("t1", "deck", 0.5, 1.0)

    def test_targets_of_a_slow_service_are_not_ejected(self):
        table = OutlierTable()
        for _ in range(60):
            for name in ("t1", "t2", "t3"):
                assert not table.add_success(name, "deck", 0.6, 1.0)
