"""Targets whose records expired in an outage of the store stay in use everywhere.

An entry that was suspended in the outage took the expired records for removed, and notified others.
"""

from __future__ import annotations

import asyncio

import pytest

from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

AWAY_S = 6.0
TARGETS = 20
RETURN_S = 1.9
"""Time after the store's return in which targets write their records again, in seconds."""


def find_fewest_usable(entries, *, seed):
    """Return the fewest usable targets at each entry during and after an outage.

    All targets' records expire in the outage, while one entry is suspended; it is left out.
    """
    fewest = {}

    async def play():
        fleet = StoreFleet(entries=entries, halls=2, targets=TARGETS, seed=seed)
        fleet.configure(1)
        await fleet.start(within_s=0.1)
        await fleet.wait_until_synchronized(1)
        await asyncio.sleep(8.0)
        fleet.nodes[1].suspend(AWAY_S + 0.02)
        await asyncio.sleep(0.01)
        fleet.store.take_down()
        await asyncio.sleep(AWAY_S - 0.5)
        for number in range(TARGETS):
            fleet.remove_target(number)
        await asyncio.sleep(0.5)
        fleet.store.is_down = False
        ends = asyncio.get_running_loop().time() + RETURN_S
        while asyncio.get_running_loop().time() < ends:
            for port, entry in fleet.entries.items():
                count = len(entry.catalog.list_usable("deck"))
                fewest[port] = min(count, fewest.get(port, TARGETS))
            await asyncio.sleep(0.01)
        fleet.stop()

    virtualtime.run(play())
    del fewest[1]
    return fewest


@pytest.mark.parametrize("entries", [6, 20])
def test_entry_suspended_in_outage_withdraws_no_target_elsewhere(entries):
    # The suspended entry had not seen the outage, and reported all targets as withdrawn.
    fewest = find_fewest_usable(entries, seed=1)
    assert {port: n for port, n in fewest.items() if n < TARGETS} == {}
