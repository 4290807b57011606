"""Quarantine: when a request is blocked or unblocked, which entries are notified, what is stored.

Guards against a request that crashes each target that runs it, and is retried until the service
has no targets left.
"""

from __future__ import annotations

import pytest

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import CrashHistory, Evidence, TargetCrash
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.quarantine import (
    TRACKED_KEPT,
    TRIALS_AFTER_S,
    Audience,
    Quarantine,
)
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord

DEFAULTS = QuarantineSettings()
ADDRESS = Address("127.0.0.1", 1)
COLLECTORS = ["h1", "h2"]
D = Identity("d", "c1")
OTHER_CALLER = Identity("d", "c2")


def make_quarantine(name, settings=DEFAULTS, collectors=COLLECTORS):
    return Quarantine(name, settings, lambda _: collectors)


def build_evidence(*targets, cleared=(), was_sound=False):
    return Evidence("d", tuple(TargetCrash(t, "c1", 1.0) for t in targets), cleared, was_sound)


def crash_targets(entry, count, *, now=0.0):
    for i in range(count):
        entry.record_crash(D, f"t{i}", now + i)


class TestBlock:
    def test_third_crashed_target_blocks_the_request(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 2)
        assert entry.find_block(D, 2.0) is None
        entry.record_crash(D, "t2", 2.0)
        assert entry.find_block(D, 2.0).ends == 3
        assert entry.find_block(Identity("other", "c1"), 2.0) is None

    def test_crashes_of_one_caller_block_only_that_caller(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 5)
        assert entry.find_block(D, 5.0) is not None
        assert entry.find_block(OTHER_CALLER, 5.0) is None

    def test_crashes_of_two_callers_block_all_callers(self):
        entry, other = make_quarantine("h1"), make_quarantine("e2")
        crash_targets(entry, 3)
        entry.pop_messages(3.0)
        entry.record_crash(OTHER_CALLER, "t9", 3.0)
        assert entry.find_block(Identity("d", "c3"), 3.0).ends == 4
        # An entry that blocks it for one caller is notified that it is blocked for all.
        for message in entry.pop_messages(3.0):
            other.merge_evidence(message.evidence, 3.0)
        assert other.find_block(Identity("d", "c3"), 3.0) is not None

    def test_copies_on_one_target_count_as_one_crash(self):
        entry = make_quarantine("e1")
        for _ in range(5):
            entry.record_crash(D, "t1", 0.0)
        assert entry.find_block(D, 0.0) is None

    def test_request_answered_between_crashes_is_not_blocked(self):
        entry = make_quarantine("e1")
        for i in range(20):
            entry.record_crash(D, f"t{i}", 2.0 * i)
            entry.record_answer("d", 2.0 * i + 1)
            assert entry.find_block(D, 2.0 * i + 1) is None

    def test_recently_answered_request_needs_more_crashes_to_block(self):
        entry = make_quarantine("e1")
        entry.record_answer("d", 0.0)
        crash_targets(entry, DEFAULTS.limit_once_sound - 1, now=1.0)
        assert entry.find_block(D, 7.0) is None
        entry.record_crash(D, "last", 7.0)
        assert entry.find_block(D, 7.0) is not None

    def test_only_an_answer_that_clears_crashes_is_reported(self):
        entry = make_quarantine("e1")
        assert not entry.record_answer("d", 0.0)
        entry.record_crash(D, "t1", 1.0)
        assert not entry.record_answer("other", 2.0)
        assert entry.record_answer("d", 2.0)
        assert not entry.record_answer("d", 3.0)

    def test_answer_unblocks_the_request(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        entry.record_answer("d", 4.0)
        assert entry.find_block(D, 4.0) is None

    def test_block_ends_when_crashes_expire(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        assert entry.find_block(D, DEFAULTS.memory_s - 1.0) is not None
        assert entry.find_block(D, DEFAULTS.memory_s + 1.0) is None
        # Two crashes have not expired yet, so that a further one blocks it again.
        entry.record_crash(D, "t9", DEFAULTS.memory_s + 1.0)
        assert entry.find_block(D, DEFAULTS.memory_s + 1.0) is not None
        assert entry.find_block(D, 2 * DEFAULTS.memory_s) is None

    def test_limit_zero_switches_the_quarantine_off(self):
        entry = make_quarantine("e1", QuarantineSettings(limit=0))
        crash_targets(entry, 9)
        assert entry.find_block(D, 9.0) is None
        assert entry.pop_messages(9.0) == []

    def test_answer_while_switched_off_unblocks_for_good(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        entry.settings = QuarantineSettings(limit=0)
        assert entry.find_block(D, 4.0) is None
        entry.record_answer("d", 4.0)
        entry.settings = DEFAULTS
        assert entry.find_block(D, 5.0) is None

    def test_tracked_requests_are_bounded_and_blocked_ones_kept(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        for i in range(2 * TRACKED_KEPT):
            entry.record_crash(Identity(f"d{i}", "c1"), "t1", 4.0)
        assert entry.count_suspects() == TRACKED_KEPT
        assert entry.find_block(D, 5.0) is not None


class TestTrial:
    def test_each_delay_allows_exactly_one_trial(self):
        entry = make_quarantine("e1", QuarantineSettings(memory_s=10_000.0))
        crash_targets(entry, 3)
        blocked_at = 2.0
        trials = []
        for second in range(4000):
            block = entry.find_block(D, blocked_at + second)
            if block.trial is not None:
                trials.append((second, block.trial))
                entry.record_trial("d", block.trial)
        assert trials == [(TRIALS_AFTER_S[0], 0), (TRIALS_AFTER_S[1], 1)]

    def test_retry_after_is_the_time_to_the_next_trial_or_expiry(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        assert entry.find_block(D, 12.0).retry_after_s == TRIALS_AFTER_S[0] - 10.0
        assert entry.find_block(D, 102.0).retry_after_s == TRIALS_AFTER_S[1] - 100.0
        assert entry.find_block(D, 500.0).retry_after_s == DEFAULTS.memory_s - 500.0


class TestMessages:
    def test_nothing_is_sent_or_stored_without_crashes(self):
        entry = make_quarantine("h1")
        for i in range(100):
            entry.record_answer(f"d{i}", float(i))
        assert entry.find_due() is None
        assert entry.pop_messages(100.0) == []

    def test_first_crash_is_sent_to_the_collectors_only(self):
        entry = make_quarantine("e1")
        entry.record_crash(D, "t1", 0.0)
        (message,) = entry.pop_messages(0.0)
        assert message.to == ("h1", "h2")

    def test_collector_broadcasts_to_the_fleet_from_the_second_crash(self):
        collector = make_quarantine("h1")
        collector.merge_evidence(build_evidence("t1"), 0.0)
        assert collector.pop_messages(0.0) == []
        collector.merge_evidence(build_evidence("t2"), 0.0)
        (message,) = collector.pop_messages(0.0)
        assert message.to is Audience.FLEET
        assert {end.target for end in message.evidence.ends} == {"t1", "t2"}

    def test_collector_of_a_hall_broadcasts_to_its_hall(self):
        collector = make_quarantine("h3", collectors=[*COLLECTORS, "h3"])
        collector.merge_evidence(build_evidence("t1", "t2"), 0.0)
        assert collector.pop_messages(0.0)[0].to is Audience.HALL

    def test_crashes_after_a_block_are_not_broadcast(self):
        collector = make_quarantine("h1")
        collector.merge_evidence(build_evidence("t1", "t2", "t3"), 0.0)
        collector.pop_messages(2.0)
        collector.merge_evidence(build_evidence("t4"), 2.0)
        assert collector.pop_messages(9.0) == []

    def test_block_is_broadcast_three_times(self):
        collector = make_quarantine("h1")
        collector.merge_evidence(build_evidence("t1", "t2", "t3"), 0.0)
        counts = [len(collector.pop_messages(at)) for at in (0.0, 0.2, 0.4, 0.9, 1.1, 5.0)]
        assert counts == [1, 0, 1, 0, 1, 0]

    def test_entry_with_an_answer_unblocks_the_request_at_the_collector(self):
        entry, collector = make_quarantine("e1"), make_quarantine("h1")
        entry.record_answer("d", 5.0)
        collector.merge_evidence(build_evidence("t1", "t2", "t3"), 5.0)
        assert collector.find_block(D, 5.0) is not None
        entry.merge_evidence(build_evidence("t1", "t2", "t3"), 5.0, is_broadcast=True)
        assert entry.find_block(D, 5.0) is None
        (message,) = entry.pop_messages(5.0)
        collector.merge_evidence(message.evidence, 5.0)
        assert collector.find_block(D, 5.0) is None

    def test_new_collectors_are_sent_the_own_crashes(self):
        collectors = ["h1"]
        entry = Quarantine("e1", DEFAULTS, lambda _: collectors)
        entry.record_crash(D, "t1", 0.0)
        entry.pop_messages(0.0)
        entry.notify_new_collectors(1.0)
        assert entry.pop_messages(1.0) == []
        collectors[:] = ["h3"]
        entry.notify_new_collectors(2.0)
        assert entry.pop_messages(2.0)[0].to == ("h3",)

    @pytest.mark.parametrize("age_s", [-5.0, float("nan"), float("inf")])
    def test_invalid_ages_do_not_block_a_request(self, age_s):
        entry = make_quarantine("e1")
        entry.merge_evidence(Evidence("d", (TargetCrash("t1", "c1", age_s),)), 100.0)
        entry.record_crash(D, "t2", 100.0)
        assert entry.find_block(D, 100.0) is None


class TestRecord:
    def test_first_collector_records_a_block_at_once(self):
        first, second = make_quarantine("h1"), make_quarantine("h2")
        for entry in (first, second):
            entry.merge_evidence(build_evidence("t1", "t2", "t3"), 0.0)
        assert first.pop_due_record(0.0) is not None
        assert second.pop_due_record(0.0) is None

    def test_second_collector_records_a_block_that_the_first_did_not(self):
        entry = make_quarantine("h2")
        entry.merge_evidence(build_evidence("t1", "t2", "t3"), 0.0, is_broadcast=True)
        assert entry.pop_due_record(1.0) is None
        assert entry.pop_due_record(3.0) is not None

    def test_stored_evidence_is_not_recorded_again(self):
        entry = make_quarantine("h1")
        evidence = build_evidence("t1", "t2", "t3")
        entry.merge_evidence(evidence, 0.0)
        entry.merge_record(evidence, 0.0)
        assert entry.pop_due_record(9.0) is None

    def test_cleared_crashes_are_not_recorded(self):
        entry = make_quarantine("h1")
        entry.merge_evidence(build_evidence("t1", "t2"), 0.0)
        entry.merge_evidence(build_evidence("t1", "t2", cleared=("t1", "t2"), was_sound=True), 0.5)
        assert entry.pop_due_record(9.0) is None

    def test_removed_record_is_written_again(self):
        entry = make_quarantine("h1")
        entry.merge_record(build_evidence("t1", "t2", "t3"), 0.0)
        entry.handle_removed_record("d", 5.0)
        assert entry.pop_due_record(5.0) is not None

    def test_entry_without_a_broadcast_records_its_own_crashes(self):
        entry = make_quarantine("e1")
        crash_targets(entry, 3)
        assert entry.pop_due_record(2.0 + 0.6) is not None

    def test_block_is_restored_from_the_record_after_a_start(self):
        entry = make_quarantine("e9")
        entry.merge_record(build_evidence("t1", "t2", "t3"), 0.0)
        assert entry.find_block(D, 0.0) is not None


class TestCase:
    def test_only_the_newest_crashes_are_kept(self):
        case = CrashHistory("d")
        for i in range(40):
            case.add_crash(f"t{i}", "c1", float(i))
        assert {end.target for end in case.build_evidence(40.0).ends} == {
            f"t{i}" for i in range(24, 40)
        }


class TestCollectors:
    def test_each_hall_has_a_collector_of_its_own(self):
        members = [MemberRecord(f"e{i}", ADDRESS, f"hall{i % 6}", "r", ADDRESS) for i in range(60)]
        for hall in range(6):
            collectors = choose_collectors("d", f"hall{hall}", members)
            halls = {m.name: m.hall for m in members}
            assert f"hall{hall}" in {halls[name] for name in collectors}
            assert collectors[:2] == choose_collectors("d", "hall0", members)[:2]

    def test_entries_without_a_relay_address_are_not_collectors(self):
        members = [MemberRecord("e1", ADDRESS, "a", "r")]
        assert choose_collectors("d", "a", members) == []
