"""Configurations that follow each other before an entry has received the first of them."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.gateway.plain import ROUTING_KEY, PlainCodec
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet


@contextlib.asynccontextmanager
async def open_fleet():
    """Start an entry that has a configuration of version 1, and more than a page of targets."""
    fleet = StoreFleet(entries=1, halls=1, targets=130, page_items=50)
    fleet.configure(1)
    await fleet.start(within_s=0.1)
    await fleet.wait_until_synchronized(1)
    await asyncio.sleep(2 * fleet.settings.direct_s)
    try:
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture
def decoded(monkeypatch):
    """Return the list of the configurations that are decoded."""
    values = []
    decode_item = PlainCodec.decode_item

    def record_and_decode(codec, item):
        if item.key == ROUTING_KEY:
            values.append(item.value)
        return decode_item(codec, item)

    monkeypatch.setattr(PlainCodec, "decode_item", record_and_decode)
    return values


def test_all_configurations_of_an_answer_are_decoded(decoded):
    """Each took 0.16 s at 1.25 MB, in which the entry did nothing else, and the last one counts."""

    async def check():
        async with open_fleet() as fleet:
            (entry,) = fleet.entries.values()
            decoded.clear()
            fleet.configure(2)
            fleet.write_target(0, "h0", is_draining=True)
            fleet.configure(4)
            fleet.configure(3)
            await fleet.wait_until_synchronized(3)
            assert entry.catalog.find_target("t00000").is_draining
            assert len(decoded) == 1
            part, text, fields = next(line for line in entry.events.lines if "Not" in line[1])
            assert (part, text, fields["count"]) == ("routing", "Not decoded: superseded.", 2)

    virtualtime.run(check())


def test_full_read_decodes_a_configuration_again_for_each_use_of_its_page(decoded):
    """Once for withdrawals, once for all records, and by an entry that starts for its members."""

    async def check():
        async with open_fleet() as fleet:
            assert len(decoded) == 1
            fleet.store.take_down()
            fleet.store.forget_history()
            await asyncio.sleep(0.001)
            fleet.configure(2)
            fleet.store.is_down = False
            await fleet.wait_until_synchronized(2)
            assert len(decoded) == 2

    virtualtime.run(check())


def test_configuration_before_one_that_cannot_be_read_is_not_decoded():
    """It stays in force, so that only what precedes the last readable one is superseded."""

    async def check():
        async with open_fleet() as fleet:
            (entry,) = fleet.entries.values()
            fleet.configure(2)
            fleet.configure(3)
            fleet.store.put(ROUTING_KEY, b'{"version": "odd"')
            await asyncio.sleep(2 * fleet.settings.bound_s)
            assert entry.catalog.configuration_version == 3
            assert entry.catalog.has_rejected_routing
            assert entry.events.counts["store: Ignores a bad record."] == 1

    virtualtime.run(check())
