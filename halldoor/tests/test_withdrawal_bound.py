"""Every connected entry excludes a drained or removed target within the bound under any fault.

In virtual time, with 74 entries in three regions unless stated otherwise; the time is measured from
the store's acknowledgement.
"""

from __future__ import annotations

import asyncio

import pytest

from halldoor.standins import virtualtime, withdrawals
from halldoor.standins.storefaults import DEAD_CONNECTION_S, SLOW_STORE_FACTOR
from halldoor.standins.withdrawals import LARGE, SMALL, WithdrawalKind

TRANSMISSION_S = 0.3
"""Part of the bound reserved for connecting and transmission, in seconds."""
DEPLOYMENT = LARGE._replace(targets=24)
PAGE_ITEMS = 50
"""Items on a page of the store; small, so that the records fill two pages as in a large one."""
LEAD_S = 1.0
"""Time from the start of the schedule to the withdrawal, in seconds."""
REFUSED_SHARE = 0.6
"""Share of the calls that the store refuses; some entries fail several times in a row."""
HISTORY_LOSS_S = 0.1
"""Time between the failure of the watches and the loss of the history, in seconds."""
TARGET_NUMBER = 5
"""Number of the target that is withdrawn."""


def change_another_target(fleet):
    """Write an unrelated target record: entries pause after reading a change."""
    fleet.write_target(TARGET_NUMBER + 1, fleet.find_hall(TARGET_NUMBER + 1), slots=7)


def open_gap(fleet):
    fleet.store.open_gap()


def close_gap(fleet):
    fleet.store.close_gap()


def close_gap_late(fleet):
    fleet.store.close_gap(forget_after_s=HISTORY_LOSS_S)


def slow_store(fleet):
    fleet.server.slowness = SLOW_STORE_FACTOR


def throttle_store(fleet):
    fleet.server.refused = REFUSED_SHARE


def lose_connections(fleet):
    """Break the connection of every third watch; it is detected as dead two seconds later."""
    for port in range(1, len(fleet.entries) + 1, 3):
        fleet.entries[port].link.silence_watch(detection_s=DEAD_CONNECTION_S)


def silence_watches(fleet):
    """Stop every third watch from receiving changes while its connection stays open."""
    for port in range(1, len(fleet.entries) + 1, 3):
        fleet.entries[port].link.silence_watch()


def isolate_an_entry(fleet):
    fleet.nodes[1].is_isolated = True


def end_isolation(fleet):
    fleet.nodes[1].is_isolated = False


def assert_excluded_within_bound(kind, *events, seed=1, deployment=DEPLOYMENT, lead_s=LEAD_S):
    """Withdraw a target, and check that all entries exclude it within the bound.

    Each event is a time in seconds relative to the withdrawal, and a fault to start then.
    """
    times = {}

    async def measure():
        fleet = withdrawals.open_fleet(deployment, seed, page_items=PAGE_ITEMS)
        await withdrawals.start_fleet(fleet)
        moment = asyncio.get_running_loop().time() + lead_s
        for at_s, begin in events:
            asyncio.get_running_loop().call_at(moment + at_s, begin, fleet)
        await asyncio.sleep(lead_s)
        withdrawals.withdraw(fleet, TARGET_NUMBER, kind)
        target = withdrawals.name_target(TARGET_NUMBER)
        times.update(
            await withdrawals.measure_exclusion_times(fleet, target, for_s=deployment.bound_s)
        )
        fleet.stop()

    virtualtime.run(measure())
    late = {
        port: round(s, 2) for port, s in times.items() if s > deployment.bound_s - TRANSMISSION_S
    }
    assert late == {}


class TestStoreGap:
    def test_target_removed_during_gap_is_not_treated_as_expired(self):
        # A removal during the gap was taken for an expiry, and the target was kept for 2 s more.
        events = [(-0.5, open_gap), (0.5, close_gap)]
        assert_excluded_within_bound(WithdrawalKind.REMOVAL, *events)

    @pytest.mark.parametrize(
        ("kind", "fault"),
        [
            (WithdrawalKind.DRAINING, slow_store),
            (WithdrawalKind.REMOVAL, slow_store),
            (WithdrawalKind.DRAINING, throttle_store),
        ],
    )
    def test_withdrawal_in_pause_before_a_gap_meets_bound(self, kind, fault):
        # Pause, silent watch, back-off and full read each met the bound, but their sum did not.
        events = [(-1.0, fault), (-0.3, change_another_target), (0.9, open_gap), (1.9, close_gap)]
        assert_excluded_within_bound(kind, *events)

    @pytest.mark.parametrize("deployment", [DEPLOYMENT, *SMALL], ids=lambda d: d.name)
    @pytest.mark.parametrize("kind", WithdrawalKind)
    def test_watches_started_before_history_loss_meet_bound(self, kind, deployment):
        # All entries started a new watch right after the cut, and it received no change.
        events = [(-0.1, open_gap), (0.9, close_gap_late)]
        assert_excluded_within_bound(kind, *events, deployment=deployment)


class TestThrottledStore:
    @pytest.mark.parametrize("kind", WithdrawalKind)
    def test_refused_watch_after_a_pause_meets_bound(self, kind):
        # Entries that watch only for themselves paused, and then backed off up to 1 s each time.
        events = [(-0.05, change_another_target), (0.05, throttle_store)]
        assert_excluded_within_bound(kind, *events, seed=2)


class TestLostConnection:
    def test_lost_connection_is_not_treated_as_store_outage(self):
        # Entries whose connection broke kept a removed target as if its record had expired.
        assert_excluded_within_bound(WithdrawalKind.REMOVAL, (-0.8, lose_connections))

    def test_removal_long_after_isolation_is_not_treated_as_expiry(self):
        # The first change after an isolation was taken for a result of it, however late it came.
        events = [(-12.0, isolate_an_entry), (-10.0, end_isolation)]
        assert_excluded_within_bound(
            WithdrawalKind.REMOVAL, *events, deployment=SMALL[0], lead_s=12.0
        )


class TestStuckWatch:
    def test_silent_watch_does_not_delay_exclusion(self):
        # An entry that watches only for itself waited 28 s for the watch's answer.
        assert_excluded_within_bound(WithdrawalKind.DRAINING, (-1.0, silence_watches))
