"""All entries together keep to a cold target's rate, also entries cut off from the store."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

ALLOWED = 9.0 * 1.5 + 5.0
"""Largest number of requests that a cold target may get in any second."""
SPREAD_S = 3.0
"""Time until all entries know that a target turned cold, in seconds."""


@pytest.mark.parametrize("entries", [6, 10])
@pytest.mark.parametrize("from_others", [False, True])
def test_entries_without_store_contact_keep_rate_of_cold_target(entries, from_others):
    """Most entries can't read the record that says that the target is cold again."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            cut = range(2, entries)
            asking = asyncio.ensure_future(fleet.send_requests(per_s=150.0, for_s=8.0))
            await asyncio.sleep(1.0)
            fleet.cut(*cut, from_others=from_others)
            await asyncio.sleep(1.0)
            cold = fleet.targets[0]
            fleet.turn_cold(cold, for_s=20.0)
            since = fleet.now() + SPREAD_S
            await asking
            assert cold.count_peak(since=since, window_s=1.0) <= ALLOWED
            assert fleet.find_served(cut, since=since) > 0.98

    asyncio.run(check())


@pytest.mark.parametrize("entries", [6, 10])
def test_entries_without_store_contact_send_nothing_to_evacuated_hall(entries):
    """They can't read that the hall is evacuated; its targets are cold when that is over."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            cut = range(2, entries)
            evacuated = fleet.targets[0]
            fleet.write_target(evacuated, hall="grq-a")
            asking = asyncio.ensure_future(fleet.send_requests(per_s=100.0, for_s=7.0))
            await asyncio.sleep(1.0)
            fleet.cut(*cut)
            fleet.store.put("evacuated/grq-a", b"1")
            since = fleet.now() + 5.0
            await asking
            assert evacuated.count_peak(since=since, window_s=1.0) == 0
            assert fleet.find_served(cut, since=since) > 0.98

    asyncio.run(check())
