"""Readings of the whole store, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

import msgspec

from halldoor.core.settings import Address
from halldoor.gateway.backoff import BACKOFF_LIMIT_S, SPREAD_S, Backoff
from halldoor.gateway.plain import TargetModel
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

TRAVEL_S = 0.035
"""Time of a message between two regions, in seconds."""
TARGETS = 130
PAGES = 3


@contextlib.asynccontextmanager
async def open_fleet(*, entries=1, halls=1, targets=TARGETS, page_items=50):
    fleet = StoreFleet(entries=entries, halls=halls, targets=targets, page_items=page_items)
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait(1)
    await asyncio.sleep(2 * fleet.settings.direct_s)
    try:
        yield fleet
    finally:
        fleet.stop()


def drain(fleet, number, hall="h0"):
    model = TargetModel(
        service="deck", address=Address("10.0.0.1", 9), hall=hall, slots=6, is_draining=True
    )
    fleet.store.put(f"targets/t{number:05}", msgspec.json.encode(model))


def is_draining(entry, number):
    return entry.catalog.find_target(f"t{number:05}").is_draining


def delay(entry):
    """Put the store into another region."""
    for name in ("read_range", "watch"):
        setattr(entry.link, name, make_slow(getattr(entry.link, name)))


def make_slow(call):
    async def wait_and_call(*args, **options):
        await asyncio.sleep(TRAVEL_S)
        try:
            return await call(*args, **options)
        finally:
            await asyncio.sleep(TRAVEL_S)

    return wait_and_call


async def lose_history(fleet):
    """Cut all watches, and forget what they would go on from."""
    fleet.store.cut()
    fleet.store.forget_history()
    await asyncio.sleep(0.001)
    fleet.store.is_down = False


class TestLostHistory:
    def test_a_cut_watch_is_retried_at_once(self):
        """A pause of 0.25 s after the cut added to the time of the reading."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                delay(entry)
                drain(fleet, 0)
                await lose_history(fleet)
                await asyncio.sleep(SPREAD_S + 2 * TRAVEL_S * (2 + PAGES) + SPREAD_S)
                assert is_draining(entry, 0)

        virtualtime.run(check())


def test_only_the_first_retry_is_at_once():
    source = Random(1)
    backoff = Backoff(source)
    assert backoff.find_pause_s() <= SPREAD_S
    assert [backoff.find_pause_s() for _ in range(4)] == [0.25, 0.5, 1.0, 1.0]
    for _ in range(5000):
        assert backoff.find_pause_s() == BACKOFF_LIMIT_S
    backoff.reset()
    assert backoff.find_pause_s() <= SPREAD_S
