"""Tests that a target withdrawn while a connection to it is opened receives no request over it."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

CONNECT_S = 0.25


def delay_connections(kit):
    """Delay each new connection to a target by `CONNECT_S`."""
    pool = kit.gateway.pool
    open_at_once = pool.open

    async def open_late(address, *, timeout_s):
        await asyncio.sleep(CONNECT_S)
        return await open_at_once(address, timeout_s=timeout_s)

    pool.open = open_late


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_target_withdrawn_during_connecting_receives_no_requests(is_evacuated):
    """The target is withdrawn after it was chosen and before the connection is open."""

    async def check():
        async with RateFleet.open(entries=1, targets=2) as fleet:
            kit = fleet.kits[0]
            leaving = fleet.targets[0]
            fleet.write_target(fleet.targets[1], hall="ams-b")
            await asyncio.sleep(1.0)  # The pause after a change is over.
            delay_connections(kit)
            asking = asyncio.ensure_future(fleet.send_requests(per_s=30.0, for_s=1.5))
            await asyncio.sleep(0.15)
            if is_evacuated:
                fleet.store.put("evacuated/ams-a", b"")
            else:
                fleet.write_target(leaving, is_draining=True)
            catalog = kit.gateway.catalog
            await kit.wait(lambda: [t.name for t in catalog.list_usable("deck")] == ["t1"])
            await asking
            await asyncio.sleep(0.5)
            assert len(leaving.arrivals) == 0
            assert fleet.find_served([0], since=0.0) > 0.98

    asyncio.run(check())
