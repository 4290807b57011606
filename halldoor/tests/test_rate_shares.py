"""Division of a target's rate among all entries that may be serving, registered or not."""

from __future__ import annotations

import pytest

from halldoor.core.targets.changes import MemberRemoved
from halldoor.core.targets.limits import LimitTable
from halldoor.core.targets.rates import EntryRanks, TargetRates
from halldoor.core.targets.rests import BackoffTable
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.targets.sharers import SHARE_KEPT_S
from halldoor.tests.choicekit import make_catalog

ALLOWED = 9.0 * 1.5 + 5.0
"""Requests that all entries together may send a cold target in any second."""
LIMIT_PER_S = 0.6 * ALLOWED


def make_rates(names):
    """Return each entry's catalog and its `TargetRates`."""
    catalogs = {name: make_catalog(targets=1, members=names) for name in names}
    for catalog in catalogs.values():
        catalog.count_sharers(0.0)  # A start at 0 s is long before the test.
    rates = {
        name: TargetRates(c, EntryRanks(c, name), LimitTable(name), BackoffTable(), {})
        for name, c in catalogs.items()
    }
    return catalogs, rates


def count_taken(catalogs, rates, now):
    """Count the requests that all entries together may send a cold target at once."""
    taken = 0
    for name, rate in rates.items():
        target = catalogs[name].find_target("t0")
        target.cold_until = now + 10.0
        taken += sum(rate.reserve_request(target, now, ChoiceSettings()) for _ in range(40))
    return taken


@pytest.mark.parametrize("cut", range(1, 10))
def test_two_groups_of_entries_that_are_cut_off_share_one_rate(cut):
    """Fault: the others see the records of cut-off entries expire; these still see the others.

    Each group would then divide the whole rate among its own entries.
    """
    names = [f"e{i}" for i in range(10)]
    catalogs, rates = make_rates(names)
    for name in names[cut:]:
        for gone in names[:cut]:
            catalogs[name].apply(MemberRemoved(gone), 100.0)
    assert count_taken(catalogs, rates, 110.0) <= LIMIT_PER_S


def test_share_of_a_removed_entry_returns_to_the_others():
    names = ["e0", "e1"]
    catalogs, rates = make_rates(names)
    catalogs["e0"].apply(MemberRemoved("e1"), 100.0)
    del rates["e1"]
    before = count_taken(catalogs, rates, 101.0)
    after = count_taken(catalogs, rates, 102.0 + SHARE_KEPT_S)
    assert (before, after) == (5, 11)


def test_restarted_entries_wait_a_window_before_they_use_their_shares():
    """Restarted entries don't know what they sent, so they wait until it has left the window."""
    names = [f"e{i}" for i in range(10)]
    catalogs, rates = make_rates(names)
    before = count_taken(catalogs, rates, 100.0)
    for rate in rates.values():
        rate.start(100.1)
    assert before + count_taken(catalogs, rates, 100.9) <= LIMIT_PER_S
    assert count_taken(catalogs, rates, 101.3) == before


def test_requests_sent_before_a_target_was_known_to_be_cold_count():
    """The target may have been cold then already, and would get the whole rate twice."""
    names = ["e0", "e1"]
    catalogs, rates = make_rates(names)
    for name, rate in rates.items():
        target = catalogs[name].find_target("t0")
        assert all(rate.reserve_request(target, 99.5, ChoiceSettings()) for _ in range(9))
    assert count_taken(catalogs, rates, 100.0) == 0
    assert count_taken(catalogs, rates, 100.7) > 0
