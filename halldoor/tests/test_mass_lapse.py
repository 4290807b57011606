"""Targets whose records lapsed with the store stay in use, whoever takes them for removed."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

AWAY_S = 6.0
TARGETS = 20
RETURN_S = 1.9
"""Time after the store's return in which lapsed records come back, in seconds."""


def find_fewest_usable(entries, *, seed):
    """Let all records lapse with the store while one entry is suspended; give the fewest usable."""
    fewest = {}

    async def play():
        fleet = StoreFleet(entries=entries, halls=2, targets=TARGETS, seed=seed)
        fleet.configure(1)
        await fleet.start(within_s=0.1)
        await fleet.wait(1)
        await asyncio.sleep(8.0)
        fleet.nodes[1].suspend(AWAY_S + 0.02)
        await asyncio.sleep(0.01)
        fleet.store.cut()
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
def test_entry_suspended_in_an_outage_withdraws_all_targets_everywhere(entries):
    # It had not seen the outage, took all lapsed records for removed and notified the others.
    fewest = find_fewest_usable(entries, seed=1)
    assert {port: n for port, n in fewest.items() if n < TARGETS} == {}
