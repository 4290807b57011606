"""Tests that a target withdrawn while a connection to it is opened receives no request over it."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.relay import OWN_PAUSE_LIMIT_S
from halldoor.tests.ratekit import RateFleet


class Connecting:
    """Holds back the gateway's new connections to targets until they are released.

    Attributes
    ----------
    addresses : list of Address
        Addresses to which connections are being opened.
    """

    def __init__(self, kit):
        self.addresses = []
        self._is_released = asyncio.Event()
        self._open_at_once = kit.gateway.pool.open
        kit.gateway.pool.open = self._open

    def release(self):
        """Open all connections, and those that follow at once."""
        self._is_released.set()

    async def _open(self, address, *, timeout_s):
        self.addresses.append(address)
        await self._is_released.wait()
        return await self._open_at_once(address, timeout_s=timeout_s)


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_target_withdrawn_during_connecting_receives_no_requests(is_evacuated):
    """The target is withdrawn after it was chosen and before the connection is open."""

    async def check():
        async with RateFleet.open(entries=1, targets=2) as fleet:
            kit = fleet.kits[0]
            leaving = fleet.targets[0]
            fleet.write_target(fleet.targets[1], hall="ams-b")
            await asyncio.sleep(OWN_PAUSE_LIMIT_S)
            connecting = Connecting(kit)
            asking = asyncio.ensure_future(fleet.send_requests(per_s=30.0, for_s=1.5))
            await kit.wait(lambda: leaving.address in connecting.addresses)
            if is_evacuated:
                fleet.store.put("evacuated/ams-a", b"")
            else:
                fleet.write_target(leaving, is_draining=True)
            catalog = kit.gateway.catalog
            await kit.wait(lambda: [t.name for t in catalog.list_usable("deck")] == ["t1"])
            connecting.release()
            await asking
            await asyncio.sleep(0.5)
            assert len(leaving.arrivals) == 0
            assert fleet.find_served([0], since=0.0) > 0.98

    asyncio.run(check())
