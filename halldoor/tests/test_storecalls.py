"""Calls to the store of a fleet in small halls whose records change all the time."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from halldoor.core.targets.relay import RelaySettings
from halldoor.standins import virtualtime
from halldoor.standins.modelnetwork import Delays
from halldoor.standins.storefleet import StoreFleet

WINDOW_S = 10.0
CHANGES_PER_S = 10.0
BOUND_S = 2.0


async def count_watches(entries, *, configurations=0):
    """Return the watches within `WINDOW_S` while targets' records change."""
    settings = RelaySettings(bound_s=BOUND_S)
    fleet = StoreFleet(
        entries=entries,
        halls=len(entries),
        regions=3,
        targets=120,
        settings=settings,
        batch_s=settings.own_pause_s,
        delays=Delays(0.0001, 0.0014, 0.012),
        has_expiry=True,
    )
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait_until_synchronized(1)
    loop, random = asyncio.get_running_loop(), Random(1)
    began = loop.time() + 2 * settings.direct_s
    version, version_at = 1, began
    while loop.time() < began + WINDOW_S:
        number = random.randrange(fleet.targets)
        fleet.write_target(number, fleet.find_hall(number), slots=random.randint(2, 9))
        if loop.time() >= version_at and version <= configurations:
            version, version_at = version + 1, version_at + WINDOW_S / configurations
            fleet.configure(version)
        await asyncio.sleep(random.expovariate(CHANGES_PER_S))
    watches = fleet.count_calls(began, began + WINDOW_S)["watch"]
    fleet.stop()
    return watches


@pytest.mark.parametrize("configurations", [0, 3])
def test_halls_of_five_and_six_make_less_than_half_of_the_watches(configurations):
    """Each of the 35 entries watched once in 0.42 of the bound, and in bursts after notices."""

    async def check():
        watches = await count_watches((5, 6, 6, 6, 6, 6), configurations=configurations)
        each_for_itself = 35 * WINDOW_S / RelaySettings(bound_s=BOUND_S).own_pause_s
        assert watches < 0.4 * each_for_itself

    virtualtime.run(check())


def test_entries_of_pairs_watch_for_themselves_in_their_slots():
    async def check():
        watches = await count_watches((2, 2, 2))
        slots = 6 * WINDOW_S / RelaySettings(bound_s=BOUND_S).own_pause_s
        assert slots * 0.9 <= watches <= slots * 1.1

    virtualtime.run(check())
