"""Configurations that take an entry's link longer than a small answer, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.core.targets.relay import RelaySettings
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

BOUND_S = 3.0
"""Time in which a configuration has to be in force everywhere, in seconds."""
HALLS = (6, 6, 6, 6, 6, 5)
NARROW_MBPS = 4.72
"""Bandwidth that callers leave of a narrow link, in Mbit/s: 590 kB/s."""
WIDE_MBPS = 200.0
TARGETS = 130
ROUTES = 5_000


def list_links(*, has_wide):
    """Return the links of all entries by port: two of each hall are wide, or none."""
    places = [i for count in HALLS for i in range(count)]
    return {
        port: WIDE_MBPS if has_wide and place < 2 else NARROW_MBPS
        for port, place in enumerate(places, 1)
    }


@contextlib.asynccontextmanager
async def open_fleet(*, has_wide=True):
    """Start entries that have a small configuration, of version 1."""
    fleet = StoreFleet(
        entries=HALLS,
        halls=len(HALLS),
        targets=TARGETS,
        settings=RelaySettings(bound_s=BOUND_S),
        links_mbps=list_links(has_wide=has_wide),
    )
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait_until_synchronized(1)
    await asyncio.sleep(2 * fleet.settings.direct_s)
    try:
        yield fleet
    finally:
        fleet.stop()


@pytest.mark.parametrize("has_wide", [True, False])
def test_large_configuration_never_arrives_over_narrow_link(has_wide):
    """Each call for it was given up after a second or less, and made again from the start."""

    async def run():
        async with open_fleet(has_wide=has_wide) as fleet:
            assert fleet.configure(2, routes=ROUTES) > 1_000_000
            assert await fleet.wait_until_synchronized(2, limit_s=60.0) <= BOUND_S

    virtualtime.run(run())
