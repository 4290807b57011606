"""When an entry answers the polls of its followers, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib

from halldoor.core.settings import Address
from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.polls import CHANGES_PATH, RelayedChanges, decode_poll_answer
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import IP, ModelClient, StoreFleet

BOUND_S = 3.0
"""Time in which a configuration has to be in force everywhere, in seconds."""
NETWORK_S = 0.1
"""Time of a small answer on its way, in seconds."""
WAIT_S = 30.0


@contextlib.asynccontextmanager
async def open_hall(**options):
    """Start the entries of a hall; yield the fleet, and the port of its reader."""
    options |= {"settings": RelaySettings(bound_s=BOUND_S)}
    async with StoreFleet.open(entries=(6,), halls=1, targets=10, **options) as fleet:
        yield fleet, fleet.list_readers()[0]


async def poll(fleet, port):
    """Poll a reader; return its answer and when it arrived."""
    after = fleet.entries[port].sync.view.revision
    client = ModelClient(fleet, Address(IP, port))
    query = f"after={after}&wait_ms={WAIT_S * 1000:.0f}&era=0&packed=1"
    answer = await client.call("GET", f"{CHANGES_PATH}?{query}", timeout_s=2 * WAIT_S)
    changes = decode_poll_answer(answer.status, answer.body)
    assert isinstance(changes, RelayedChanges)
    return changes, asyncio.get_running_loop().time()


def test_poll_that_waits_is_not_answered_at_an_update():
    async def check():
        async with open_hall() as (fleet, port):
            polling = asyncio.ensure_future(poll(fleet, port))
            await asyncio.sleep(0.3)
            assert not polling.done()
            fleet.configure(2)
            while fleet.entries[port].catalog.configuration_version != 2:
                await asyncio.sleep(0.01)
            applied_at = asyncio.get_running_loop().time()
            changes, at = await polling
            assert changes.items and at - applied_at < NETWORK_S

    virtualtime.run(check())


def test_poll_that_waits_is_not_answered_once_the_store_takes_long():
    """Its follower got the configuration later than from the store."""

    async def check():
        async with open_hall(links_mbps=dict.fromkeys(range(1, 7), 1.0)) as (fleet, port):
            entry = fleet.entries[port]
            polling = asyncio.ensure_future(poll(fleet, port))
            await asyncio.sleep(0.3)
            assert not polling.done()
            fleet.configure(2, routes=7_000)
            while not entry.feed._is_receiving():
                await asyncio.sleep(0.01)
            noticed_at = asyncio.get_running_loop().time()
            changes, at = await polling
            assert changes.is_receiving and not changes.items
            assert at - noticed_at < NETWORK_S
            assert entry.feed.is_answer_arriving

    virtualtime.run(check())
