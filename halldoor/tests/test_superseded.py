"""Configurations that follow each other before an entry has received the first of them."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.core.targets.history import HISTORY_BYTES
from halldoor.gateway.plain import ROUTING_KEY, PlainCodec
from halldoor.gateway.polls import decode_poll_answer, unpack_items
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import IP, Address, ModelClient, StoreFleet


def open_fleet():
    """Start an entry that has a configuration of version 1, and more than a page of targets."""
    return StoreFleet.open(within_s=0.1, entries=1, halls=1, targets=130, page_items=50)


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


class TestReader:
    """What a reader sends a follower that is behind."""

    @staticmethod
    @contextlib.asynccontextmanager
    async def open_reader():
        """Start a hall of three entries; yield the fleet, its reader and the revision so far."""
        async with StoreFleet.open(within_s=0.1, entries=3, halls=1, targets=10) as fleet:
            (port,) = fleet.list_readers()
            yield fleet, port, fleet.entries[port].sync.view.revision

    @staticmethod
    async def poll(fleet, port, after):
        """Poll an entry for the changes after a revision, and return them."""
        client = ModelClient(fleet, Address(IP, port))
        query = f"after={after}&wait_ms=0&era=0&packed=1"
        answer = await client.call("GET", f"/changes?{query}", timeout_s=1.0)
        changes = decode_poll_answer(answer.status, answer.body)
        assert changes.revision == fleet.entries[port].sync.view.revision
        return unpack_items(changes.items)

    def test_follower_that_is_behind_gets_each_configuration(self):
        """Two of a megabyte took a narrow link twice as long; only the second takes effect."""

        async def check():
            async with self.open_reader() as (fleet, port, after):
                for version in (2, 3, 4):
                    fleet.configure(version, routes=500)
                    fleet.remove_target(version)
                    await fleet.wait_until_synchronized(version)
                await asyncio.sleep(fleet.settings.bound_s)
                items = await self.poll(fleet, port, after)
                sizes = [len(item.value) for item in items if item.key == ROUTING_KEY]
                assert len(sizes) == 1 and sizes[0] > 50_000
                removed = [item.key for item in items if item.value is None]
                assert removed == [f"targets/t0000{version}" for version in (2, 3, 4)]

        virtualtime.run(check())

    def test_configuration_before_one_that_cannot_be_read_is_sent(self):
        """The follower would keep the one before both."""

        async def check():
            async with self.open_reader() as (fleet, port, after):
                fleet.configure(2)
                await fleet.wait_until_synchronized(2)
                fleet.store.put(ROUTING_KEY, b'{"version": "odd"')
                await asyncio.sleep(fleet.settings.bound_s)
                items = await self.poll(fleet, port, after)
                assert [item.key for item in items].count(ROUTING_KEY) == 2

        virtualtime.run(check())

    def test_history_of_large_changes_fills_the_memory(self):
        """Sixty-four configurations of a megabyte that can't be read were kept for followers."""

        async def check():
            async with self.open_reader() as (fleet, port, _):
                for number in range(40):
                    fleet.store.put(ROUTING_KEY, b"{%d" % number + bytes(500_000))
                    await asyncio.sleep(fleet.settings.bound_s)
                history = fleet.entries[port].feed._publisher._history
                sizes = [len(item.value or b"") for b in history._batches for item in b.items]
                assert 500_000 <= sum(sizes) <= HISTORY_BYTES
                assert await self.poll(fleet, port, fleet.store._revision - 1)

        virtualtime.run(check())
