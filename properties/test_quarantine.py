"""Quarantine: evidence merges the same in any order, and crashes stop soon over all entries.

Guards against evidence that is lost, late, duplicated or reordered between entries, so that some
entry goes on sending a request that crashes targets.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.quarantine.evidence import CrashHistory, Evidence, TargetCrash
from halldoor.core.quarantine.record import from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.standins.crashfleet import Faults, Fleet, Run
from halldoor.standins.crashways import CollectorsAndRecord

LATE_SENDS = 3
"""Most attempts that all entries together may make after the evidence had time to reach them."""
TARGETS = st.sampled_from([f"t{i}" for i in range(6)])
CALLERS = st.sampled_from(["c1", "c2"])
EVIDENCE = st.builds(
    Evidence,
    digest=st.just("d"),
    ends=st.lists(st.builds(TargetCrash, TARGETS, CALLERS, st.just(1.0)), max_size=6).map(tuple),
    cleared=st.lists(TARGETS, max_size=3).map(tuple),
    was_sound=st.booleans(),
)


def merge(parts):
    case = CrashHistory("d")
    for part in parts:
        case.merge(part, 10.0)
    evidence = case.build_evidence(10.0)
    return ({end.target for end in evidence.ends}, evidence.was_sound, case.count_crashes())


@given(parts=st.lists(EVIDENCE, max_size=6), source=st.randoms())
def test_merging_is_independent_of_order_and_repetition(parts, source):
    parts = [part._replace(cleared=()) for part in parts]
    shuffled = [*parts, *parts]
    source.shuffle(shuffled)
    assert merge(parts) == merge(shuffled)


@given(parts=st.lists(EVIDENCE, max_size=6))
def test_merging_own_evidence_changes_nothing(parts):
    case = CrashHistory("d")
    for part in parts:
        case.merge(part, 10.0)
    told = case.build_evidence(10.0)
    assert not case.merge(told, 10.0)
    assert case.is_covered_by(told)


@given(part=EVIDENCE, later_ms=st.integers(0, 500_000))
def test_record_keeps_targets_and_ages_however_late_it_is_read(part, later_ms):
    read = from_record(to_record(part, 1_000_000), 1_000_000 + later_ms)
    assert [end.target for end in read.ends] == [end.target for end in part.ends]
    assert all(abs(end.age_s - 1.0 - later_ms / 1000) < 0.002 for end in read.ends)


@given(ends=st.lists(st.tuples(TARGETS, st.floats(0.0, 1000.0)), max_size=12))
def test_request_is_blocked_from_the_limit_of_crashed_targets(ends):
    case = CrashHistory("d")
    for target, at in ends:
        case.add_crash(target, "c1", at)
    is_blocked = case.is_blocked(QuarantineSettings())
    assert is_blocked == (len({target for target, _ in ends}) >= 3)


TROUBLES = st.builds(
    Faults,
    loss=st.sampled_from([0.0, 0.05, 0.2]),
    delay_s=st.sampled_from([0.002, 0.013, 0.04]),
    cut_s=st.sampled_from([(99.0, 99.0), (0.0, 4.0), (0.0, 12.0), (0.3, 12.0)]),
    away_s=st.sampled_from([(99.0, 99.0), (0.0, 3.0), (1.0, 5.0)]),
    restart_s=st.sampled_from([99.0, 0.7, 2.0, 4.0]),
)


@settings(max_examples=40)
@given(
    entries=st.sampled_from([6, 10, 24, 75]),
    rate=st.sampled_from([1.0, 4.0, 8.0, 30.0]),
    trouble=TROUBLES,
    seed=st.integers(0, 1000),
)
def test_all_entries_stop_sending_a_crashing_request_in_time(entries, rate, trouble, seed):
    # Messages and the store don't fail at the same time: entries couldn't learn of crashes
    # that others saw.
    if trouble.cut_s[0] < 99.0:
        trouble = trouble._replace(away_s=(99.0, 99.0))
    run = Run(Fleet(entries=entries, bad_per_s=rate), trouble, seed=seed)
    run.play(CollectorsAndRecord(), until_s=14.0)
    assert run.count_late_sends() <= LATE_SENDS


@settings(max_examples=15)
@given(entries=st.sampled_from([6, 10, 75]), seed=st.integers(0, 1000))
def test_harmless_request_is_hardly_refused_when_targets_crash(entries, seed):
    fleet = Fleet(entries=entries, bad_per_s=0.0, popular_per_s=8.0, ends_per_s=1.2)
    run = Run(fleet, Faults(), seed=seed).play(CollectorsAndRecord(), until_s=25.0)
    assert run.refused <= 0.02 * (run.served + run.refused + run.lost)
