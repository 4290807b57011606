"""Quarantine: when a request is blocked or unblocked, which entries are notified, what is stored.

Guards against a request that crashes each target that runs it, and is retried until the service
has no targets left.
"""

from __future__ import annotations

import pytest

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import Case, Evidence, TargetEnd
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.quarantine import (
    CASES_KEPT,
    TRIALS_AFTER_S,
    Audience,
    Quarantine,
)
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord

USUAL = QuarantineSettings()
ADDRESS = Address("127.0.0.1", 1)
COLLECTORS = ["h1", "h2"]
D = Identity("d", "c1")
OTHERS = Identity("d", "c2")


def open_entry(name, settings=USUAL, collectors=COLLECTORS):
    return Quarantine(name, settings, lambda _: collectors)


def build(*targets, cleared=(), was_sound=False):
    return Evidence("d", tuple(TargetEnd(t, "c1", 1.0) for t in targets), cleared, was_sound)


def end_targets(entry, count, *, now=0.0):
    for i in range(count):
        entry.note_end(D, f"t{i}", now + i)


class TestBlock:
    def test_two_targets_may_end_by_chance_and_a_third_blocks(self):
        entry = open_entry("e1")
        end_targets(entry, 2)
        assert entry.find_block(D, 2.0) is None
        entry.note_end(D, "t2", 2.0)
        assert entry.find_block(D, 2.0).ends == 3
        assert entry.find_block(Identity("other", "c1"), 2.0) is None

    def test_what_ended_under_one_callers_sendings_is_not_blamed_on_another(self):
        entry = open_entry("e1")
        end_targets(entry, 5)
        assert entry.find_block(D, 5.0) is not None
        assert entry.find_block(OTHERS, 5.0) is None

    def test_what_ended_under_two_callers_sendings_is_the_requests_doing(self):
        entry, other = open_entry("h1"), open_entry("e2")
        end_targets(entry, 3)
        entry.take_messages(3.0)
        entry.note_end(OTHERS, "t9", 3.0)
        assert entry.find_block(Identity("d", "c3"), 3.0).ends == 4
        # An entry that blocks it for one caller is notified that it is blocked for all.
        for message in entry.take_messages(3.0):
            other.take(message.evidence, 3.0)
        assert other.find_block(Identity("d", "c3"), 3.0) is not None

    def test_copies_that_ran_on_one_target_count_once(self):
        entry = open_entry("e1")
        for _ in range(5):
            entry.note_end(D, "t1", 0.0)
        assert entry.find_block(D, 0.0) is None

    def test_what_was_answered_in_between_is_not_blocked(self):
        entry = open_entry("e1")
        for i in range(20):
            entry.note_end(D, f"t{i}", 2.0 * i)
            entry.note_answer("d", 2.0 * i + 1)
            assert entry.find_block(D, 2.0 * i + 1) is None

    def test_what_was_answered_lately_takes_more_ends(self):
        entry = open_entry("e1")
        entry.note_answer("d", 0.0)
        end_targets(entry, USUAL.limit_once_sound - 1, now=1.0)
        assert entry.find_block(D, 7.0) is None
        entry.note_end(D, "last", 7.0)
        assert entry.find_block(D, 7.0) is not None

    def test_only_an_answer_that_changes_something_is_to_be_told(self):
        entry = open_entry("e1")
        assert not entry.note_answer("d", 0.0)
        entry.note_end(D, "t1", 1.0)
        assert not entry.note_answer("other", 2.0)
        assert entry.note_answer("d", 2.0)
        assert not entry.note_answer("d", 3.0)

    def test_an_answer_lifts_it(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        entry.note_answer("d", 4.0)
        assert entry.find_block(D, 4.0) is None

    def test_it_ends_with_the_memory_of_the_ends(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        assert entry.find_block(D, USUAL.memory_s - 1.0) is not None
        assert entry.find_block(D, USUAL.memory_s + 1.0) is None
        # Two crashes have not expired yet, so that a further one blocks it again.
        entry.note_end(D, "t9", USUAL.memory_s + 1.0)
        assert entry.find_block(D, USUAL.memory_s + 1.0) is not None
        assert entry.find_block(D, 2 * USUAL.memory_s) is None

    def test_it_can_be_switched_off(self):
        entry = open_entry("e1", QuarantineSettings(limit=0))
        end_targets(entry, 9)
        assert entry.find_block(D, 9.0) is None
        assert entry.take_messages(9.0) == []

    def test_an_answer_while_it_is_off_lifts_it_for_good(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        entry.settings = QuarantineSettings(limit=0)
        assert entry.find_block(D, 4.0) is None
        entry.note_answer("d", 4.0)
        entry.settings = USUAL
        assert entry.find_block(D, 5.0) is None

    def test_memory_is_bounded_and_keeps_what_is_blocked(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        for i in range(2 * CASES_KEPT):
            entry.note_end(Identity(f"d{i}", "c1"), "t1", 4.0)
        assert entry.count_suspects() == CASES_KEPT
        assert entry.find_block(D, 5.0) is not None


class TestTrial:
    def test_one_is_due_after_each_pause_and_none_after_the_last(self):
        entry = open_entry("e1", QuarantineSettings(memory_s=10_000.0))
        end_targets(entry, 3)
        blocked_at = 2.0
        trials = []
        for second in range(4000):
            block = entry.find_block(D, blocked_at + second)
            if block.trial is not None:
                trials.append((second, block.trial))
                entry.note_trial("d", block.trial)
        assert trials == [(TRIALS_AFTER_S[0], 0), (TRIALS_AFTER_S[1], 1)]

    def test_callers_are_told_when_the_next_one_is(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        assert entry.find_block(D, 12.0).retry_after_s == TRIALS_AFTER_S[0] - 10.0
        assert entry.find_block(D, 102.0).retry_after_s == TRIALS_AFTER_S[1] - 100.0
        assert entry.find_block(D, 500.0).retry_after_s == USUAL.memory_s - 500.0


class TestTelling:
    def test_nothing_is_told_or_recorded_while_no_target_ends(self):
        entry = open_entry("h1")
        for i in range(100):
            entry.note_answer(f"d{i}", float(i))
        assert entry.find_due() is None
        assert entry.take_messages(100.0) == []

    def test_an_end_is_told_to_those_who_count_and_to_nobody_else(self):
        entry = open_entry("e1")
        entry.note_end(D, "t1", 0.0)
        (message,) = entry.take_messages(0.0)
        assert message.to == ("h1", "h2")

    def test_those_who_count_tell_everybody_from_the_second_end_on(self):
        collector = open_entry("h1")
        collector.take(build("t1"), 0.0)
        assert collector.take_messages(0.0) == []
        collector.take(build("t2"), 0.0)
        (message,) = collector.take_messages(0.0)
        assert message.to is Audience.FLEET
        assert {end.target for end in message.evidence.ends} == {"t1", "t2"}

    def test_the_one_of_a_hall_tells_its_hall(self):
        collector = open_entry("h3", collectors=[*COLLECTORS, "h3"])
        collector.take(build("t1", "t2"), 0.0)
        assert collector.take_messages(0.0)[0].to is Audience.HALL

    def test_ends_past_a_block_are_not_told(self):
        collector = open_entry("h1")
        collector.take(build("t1", "t2", "t3"), 0.0)
        collector.take_messages(2.0)
        collector.take(build("t4"), 2.0)
        assert collector.take_messages(9.0) == []

    def test_a_block_is_told_again(self):
        collector = open_entry("h1")
        collector.take(build("t1", "t2", "t3"), 0.0)
        counts = [len(collector.take_messages(at)) for at in (0.0, 0.2, 0.4, 0.9, 1.1, 5.0)]
        assert counts == [1, 0, 1, 0, 1, 0]

    def test_an_entry_that_had_an_answer_speaks_for_the_request(self):
        entry, collector = open_entry("e1"), open_entry("h1")
        entry.note_answer("d", 5.0)
        collector.take(build("t1", "t2", "t3"), 5.0)
        assert collector.find_block(D, 5.0) is not None
        entry.take(build("t1", "t2", "t3"), 5.0, is_for_all=True)
        assert entry.find_block(D, 5.0) is None
        (message,) = entry.take_messages(5.0)
        collector.take(message.evidence, 5.0)
        assert collector.find_block(D, 5.0) is None

    def test_others_that_count_now_are_told_too(self):
        collectors = ["h1"]
        entry = Quarantine("e1", USUAL, lambda _: collectors)
        entry.note_end(D, "t1", 0.0)
        entry.take_messages(0.0)
        entry.recheck_collectors(1.0)
        assert entry.take_messages(1.0) == []
        collectors[:] = ["h3"]
        entry.recheck_collectors(2.0)
        assert entry.take_messages(2.0)[0].to == ("h3",)

    @pytest.mark.parametrize("age_s", [-5.0, float("nan"), float("inf")])
    def test_senseless_ages_do_no_harm(self, age_s):
        entry = open_entry("e1")
        entry.take(Evidence("d", (TargetEnd("t1", "c1", age_s),)), 100.0)
        entry.note_end(D, "t2", 100.0)
        assert entry.find_block(D, 100.0) is None


class TestRecord:
    def test_a_block_is_recorded_at_once_by_the_first_who_counts(self):
        first, second = open_entry("h1"), open_entry("h2")
        for entry in (first, second):
            entry.take(build("t1", "t2", "t3"), 0.0)
        assert first.take_record_due(0.0) is not None
        assert second.take_record_due(0.0) is None

    def test_the_second_records_what_the_first_did_not(self):
        entry = open_entry("h2")
        entry.take(build("t1", "t2", "t3"), 0.0, is_for_all=True)
        assert entry.take_record_due(1.0) is None
        assert entry.take_record_due(3.0) is not None

    def test_what_is_recorded_is_not_recorded_again(self):
        entry = open_entry("h1")
        evidence = build("t1", "t2", "t3")
        entry.take(evidence, 0.0)
        entry.take_record(evidence, 0.0)
        assert entry.take_record_due(9.0) is None

    def test_two_ends_are_recorded_unless_they_are_cleared_first(self):
        entry = open_entry("h1")
        entry.take(build("t1", "t2"), 0.0)
        entry.take(build("t1", "t2", cleared=("t1", "t2"), was_sound=True), 0.5)
        assert entry.take_record_due(9.0) is None

    def test_a_record_that_went_is_written_again(self):
        entry = open_entry("h1")
        entry.take_record(build("t1", "t2", "t3"), 0.0)
        entry.lose_record("d", 5.0)
        assert entry.take_record_due(5.0) is not None

    def test_an_entry_that_hears_of_nobody_records_its_own(self):
        entry = open_entry("e1")
        end_targets(entry, 3)
        assert entry.take_record_due(2.0 + 0.6) is not None

    def test_an_entry_that_starts_later_learns_it_from_there(self):
        entry = open_entry("e9")
        entry.take_record(build("t1", "t2", "t3"), 0.0)
        assert entry.find_block(D, 0.0) is not None


class TestCase:
    def test_only_the_newest_ends_are_kept(self):
        case = Case("d")
        for i in range(40):
            case.add_end(f"t{i}", "c1", float(i))
        assert {end.target for end in case.build_evidence(40.0).ends} == {
            f"t{i}" for i in range(24, 40)
        }


class TestCollectors:
    def test_a_hall_that_is_cut_off_has_one_of_its_own(self):
        members = [MemberRecord(f"e{i}", ADDRESS, f"hall{i % 6}", "r", ADDRESS) for i in range(60)]
        for hall in range(6):
            collectors = choose_collectors("d", f"hall{hall}", members)
            halls = {m.name: m.hall for m in members}
            assert f"hall{hall}" in {halls[name] for name in collectors}
            assert collectors[:2] == choose_collectors("d", "hall0", members)[:2]

    def test_entries_that_take_no_messages_count_for_nobody(self):
        members = [MemberRecord("e1", ADDRESS, "a", "r")]
        assert choose_collectors("d", "a", members) == []
