"""Every connected entry excludes a drained or removed target within the bound under any fault.

In virtual time, with 74 entries in three regions unless stated otherwise; the time is measured from
the store's acknowledgement.
"""

from __future__ import annotations

import asyncio

import pytest

from halldoor.standins import virtualtime, withdrawals
from halldoor.standins.storefaults import DEAD_CONNECTION_S, SLOW_STORE
from halldoor.standins.withdrawals import GROWN, SMALL, Way

TRAVEL_S = 0.3
"""Part of the bound reserved for connecting and transmission, in seconds."""
DEPLOYMENT = GROWN._replace(targets=24)
PAGE_ITEMS = 50
"""Items on a page of the store; small, so that the records fill two pages as in a large one."""
LEAD_S = 1.0
"""Time from the start of the schedule to the withdrawal, in seconds."""
REFUSED = 0.6
"""Share of the calls that the store refuses; some entries fail several times in a row."""
FORGET_S = 0.1
"""Time between the failure of the watches and the loss of the history, in seconds."""
NUMBER = 5
"""Number of the target that is withdrawn."""


def change_another_target(fleet):
    """Write an unrelated target record: entries pause after reading a change."""
    fleet.write_target(NUMBER + 1, fleet.find_hall(NUMBER + 1), slots=7)


def open_gap(fleet):
    fleet.store.open_gap()


def close_gap(fleet):
    fleet.store.close_gap()


def close_gap_late(fleet):
    fleet.store.close_gap(forget_after_s=FORGET_S)


def slow_store(fleet):
    fleet.server.slowness = SLOW_STORE


def throttle_store(fleet):
    fleet.server.refused = REFUSED


def lose_connections(fleet):
    """Break the connection of every third watch; it is detected as dead two seconds later."""
    for port in range(1, len(fleet.entries) + 1, 3):
        fleet.entries[port].link.silence_watch(noticed_s=DEAD_CONNECTION_S)


def stick_watches(fleet):
    """Stop every third watch from receiving changes while its connection stays open."""
    for port in range(1, len(fleet.entries) + 1, 3):
        fleet.entries[port].link.silence_watch()


def isolate_an_entry(fleet):
    fleet.nodes[1].is_isolated = True


def end_isolation(fleet):
    fleet.nodes[1].is_isolated = False


def assert_excluded_within_bound(way, *events, seed=1, deployment=DEPLOYMENT, lead_s=LEAD_S):
    """Withdraw a target, and check that all entries exclude it within the bound.

    Each event is a time in seconds relative to the withdrawal, and a fault to start then.
    """
    times = {}

    async def measure():
        fleet = withdrawals.open_fleet(deployment, seed, page_items=PAGE_ITEMS)
        await withdrawals.start(fleet)
        moment = asyncio.get_running_loop().time() + lead_s
        for at_s, begin in events:
            asyncio.get_running_loop().call_at(moment + at_s, begin, fleet)
        await asyncio.sleep(lead_s)
        withdrawals.withdraw(fleet, NUMBER, way)
        target = withdrawals.name_target(NUMBER)
        times.update(await withdrawals.watch_exclusion(fleet, target, for_s=deployment.bound_s))
        fleet.stop()

    virtualtime.run(measure())
    late = {port: round(s, 2) for port, s in times.items() if s > deployment.bound_s - TRAVEL_S}
    assert late == {}


class TestStoreGap:
    def test_removal_during_the_gap_is_not_kept_as_a_lapse(self):
        # A removal during the gap was taken for an expiry, and the target was kept for 2 s more.
        events = [(-0.5, open_gap), (0.5, close_gap)]
        assert_excluded_within_bound(Way.REMOVAL, *events)

    @pytest.mark.parametrize(
        ("way", "fault"),
        [(Way.DRAINING, slow_store), (Way.REMOVAL, slow_store), (Way.DRAINING, throttle_store)],
    )
    def test_pause_after_another_change_then_a_gap(self, way, fault):
        # Pause, silent watch, back-off and full read each met the bound, but their sum did not.
        events = [(-1.0, fault), (-0.3, change_another_target), (0.9, open_gap), (1.9, close_gap)]
        assert_excluded_within_bound(way, *events)

    @pytest.mark.parametrize("deployment", [DEPLOYMENT, *SMALL], ids=lambda d: d.name)
    @pytest.mark.parametrize("way", Way)
    def test_watches_that_begin_before_the_history_is_forgotten_hear_nothing(self, way, deployment):
        # All entries started a new watch right after the cut, and it received no change.
        events = [(-0.1, open_gap), (0.9, close_gap_late)]
        assert_excluded_within_bound(way, *events, deployment=deployment)


class TestThrottledStore:
    @pytest.mark.parametrize("way", Way)
    def test_watch_after_a_pause_is_turned_away(self, way):
        # Entries that watch only for themselves paused, and then backed off up to 1 s each time.
        events = [(-0.05, change_another_target), (0.05, throttle_store)]
        assert_excluded_within_bound(way, *events, seed=2)


class TestLostConnection:
    def test_own_absence_is_not_taken_for_one_of_the_store(self):
        # Entries whose connection broke kept a removed target as if its record had expired.
        assert_excluded_within_bound(Way.REMOVAL, (-0.8, lose_connections))

    def test_removal_long_after_a_cut_is_not_kept_as_a_lapse(self):
        # The first change after an isolation was taken for a result of it, however late it came.
        events = [(-12.0, isolate_an_entry), (-10.0, end_isolation)]
        assert_excluded_within_bound(Way.REMOVAL, *events, deployment=SMALL[0], lead_s=12.0)


class TestStuckWatch:
    def test_watch_that_hears_nothing_is_not_relied_on(self):
        # An entry that watches only for itself waited 28 s for the watch's answer.
        assert_excluded_within_bound(Way.DRAINING, (-1.0, stick_watches))
