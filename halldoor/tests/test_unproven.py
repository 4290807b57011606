"""Targets that have never answered get few requests, and are checked once they failed."""

from __future__ import annotations

import random

import pytest

from halldoor.core.targets.changes import TargetRemoved, TargetSeen
from halldoor.core.targets.reach import PROBES, ReachMonitor
from halldoor.core.targets.unproven import (
    CHECK_AFTER_S,
    MIN_TRIALS,
    PAUSE_LIMIT_S,
    PAUSE_S,
)
from halldoor.tests.choicekit import make_catalog, make_chooser, make_route, make_target


def make_kit(*, proven=3, others=30, are_first=False):
    """Return a chooser, its catalog, and its targets that have answered and that have not.

    The others appear after the first request, unless `are_first`.
    """
    catalog = make_catalog(targets=0)
    chooser = make_chooser(catalog)
    names = [f"p{i}" for i in range(proven)], [f"u{i}" for i in range(others)]

    def add(group):
        for name in group:
            catalog.apply(TargetSeen(make_target(name)), 0.0)
        return [catalog.find_target(name) for name in group]

    sound = add(names[0])
    unproven = add(names[1]) if are_first else []
    for target in sound:
        chooser.unproven.add_answer(target)
    if proven:
        chooser.choose(make_route(), "deck", "k", 0.9)
    return chooser, catalog, sound, unproven or add(names[1])


def fail(chooser, target, now):
    """Record that no connection to a target could be opened."""
    chooser.outliers.add_failure(target.name, now, is_unreachable=True)
    chooser.unproven.add_failure(target, now)


def choose_names(chooser, now, *, count=200, key="k"):
    """Choose targets for some keys, without sending requests; return their names."""
    chosen = (chooser.choose(make_route(), "deck", f"{key}{i}", now) for i in range(count))
    return {target.name for target in chosen}


@pytest.mark.parametrize("key", ["k", ""])
def test_many_dead_records_make_ejected_targets_usable(key):
    """Fault: more than half of the targets were ejected, so that none was passed over."""
    chooser, _, proven, others = make_kit()
    for target in others:
        fail(chooser, target, 1.0)
    for now in (1.0, 1.5, 60.0):
        assert choose_names(chooser, now, key=key) <= {target.name for target in proven}


def test_ejected_targets_that_have_answered_are_used_if_most_are():
    chooser, _, proven, _ = make_kit(proven=4, others=0)
    for target in proven[:3]:
        fail(chooser, target, 1.0)
    assert len(choose_names(chooser, 1.0)) > 1


@pytest.mark.parametrize("proven", [1, 3, 40])
def test_requests_on_unproven_targets_are_limited(proven):
    chooser, _, _, others = make_kit(proven=proven, others=100)
    limit = max(MIN_TRIALS, proven // 2)
    for target in others[:limit]:
        assert choose_names(chooser, 1.0) & {t.name for t in others}
        chooser.unproven.start_trial(target)
    assert not choose_names(chooser, 1.0) & {t.name for t in others}


def test_unproven_target_that_answers_makes_room_for_others():
    chooser, _, _, others = make_kit()
    for target in others[:MIN_TRIALS]:
        chooser.unproven.start_trial(target)
    assert not choose_names(chooser, 1.0) & {t.name for t in others}
    chooser.unproven.add_answer(others[0])
    assert choose_names(chooser, 1.0) & {t.name for t in others[MIN_TRIALS:]}


def test_withheld_targets_get_what_the_proven_ones_have_no_room_for():
    chooser, _, proven, others = make_kit()
    for target in others[:MIN_TRIALS]:
        chooser.unproven.start_trial(target)
    for target in proven:
        chooser.report_load(target.name, running=60, times=20)
    assert choose_names(chooser, 1.0, count=20) <= {t.name for t in others}


def test_no_target_is_withheld_while_none_has_answered():
    """All targets and entries may have started at once."""
    chooser, _, _, others = make_kit(proven=0)
    for target in others[:10]:
        chooser.unproven.start_trial(target)
    assert len(choose_names(chooser, 1.0)) > 10


def test_entry_that_starts_sends_few_requests_to_most_targets():
    """Few targets have answered an entry of a large fleet; only later records are doubted."""
    chooser, catalog, proven, others = make_kit(are_first=True)
    names = {target.name for target in others}
    for target in others[:10]:
        chooser.unproven.start_trial(target)
    assert choose_names(chooser, 60.0) & names
    for target in others[:12]:
        fail(chooser, target, 60.0)
    assert choose_names(chooser, 60.1) <= {target.name for target in proven}
    catalog.apply(TargetSeen(make_target("later")), 60.1)
    assert "later" not in choose_names(chooser, 60.1)


def test_failed_target_is_checked_and_returns_when_it_answers():
    chooser, _, _, others = make_kit(others=1)
    unproven, target = chooser.unproven, others[0]
    fail(chooser, target, 1.0)
    now, pauses = 1.0, []
    for _ in range(8):
        due_at = now
        while not unproven.pop_due_checks(due_at, 10):
            due_at += 0.1
        pauses.append(due_at - now)
        now = due_at
        unproven.add_check_failure(target, now)
    assert pauses[0] == pytest.approx(PAUSE_S, abs=0.2)
    assert max(pauses) == pytest.approx(PAUSE_LIMIT_S, abs=0.2)
    assert target.name not in choose_names(chooser, now)
    unproven.add_answer(target)
    assert target.name in choose_names(chooser, now)
    assert not unproven.pop_due_checks(now + 60.0, 10)


def test_sound_target_behind_dead_records_is_checked_soon():
    """Dead records use up the limit of requests, so a check has to prove the sound one."""
    chooser, catalog, _, others = make_kit(others=10)
    for target in others:
        fail(chooser, target, 1.0)
    chooser.unproven.pop_due_checks(2.0, 100)
    catalog.apply(TargetSeen(make_target("new")), 2.0)
    choose_names(chooser, 2.0)
    due = chooser.unproven.pop_due_checks(2.0 + CHECK_AFTER_S, 100)
    assert [target.name for target in due] == ["new"]


def test_nothing_is_checked_while_targets_answer_at_once():
    chooser, _, _, others = make_kit(proven=0)
    choose_names(chooser, 1.0)
    chooser.unproven.add_answer(others[0])
    choose_names(chooser, 1.1)
    assert not chooser.unproven.pop_due_checks(60.0, 100)


def test_silent_targets_are_checked_although_no_request_failed():
    chooser, _, _, _ = make_kit(proven=0)
    choose_names(chooser, 1.0)
    found = {t.name for i in range(10) for t in chooser.unproven.pop_due_checks(1.0 + i / 10, 100)}
    assert len(found) == 30


def test_removed_targets_are_forgotten():
    chooser, catalog, proven, others = make_kit(proven=1, others=MIN_TRIALS)
    for target in others:
        fail(chooser, target, 1.0)
    for target in (*proven, *others):
        catalog.apply(TargetRemoved(target.name), 100.0)
        chooser.forget(target.name)
        chooser.unproven.add_answer(target)
        fail(chooser, target, 100.0)
    catalog.apply(TargetSeen(make_target("new")), 100.0)
    assert choose_names(chooser, 100.0) == {"new"}
    assert len(chooser.unproven.list_most_reliable(catalog.list_targets(), 0)) == 1


@pytest.mark.parametrize("seed", range(5))
def test_dead_records_are_not_taken_for_the_loss_of_all_targets(seed):
    """The way to targets is probed by those that have answered, as long as there are any."""
    chooser, catalog, proven, others = make_kit()
    for target in others[:10]:
        fail(chooser, target, 1.0)
    reliable = chooser.unproven.list_most_reliable(catalog.list_targets(), PROBES)
    monitor = ReachMonitor()
    for name in ("a", "b"):
        monitor.add_failure(name, "refused", 1.0)
    chosen = {t.name for t in monitor.choose_probes(reliable, random.Random(seed))}
    assert {target.name for target in proven} <= chosen
