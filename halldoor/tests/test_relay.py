"""Changes that pass from readers of the store to the other entries of a large fleet."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings, MemberRecord
from halldoor.core.targets.relay import (
    Batch,
    ChangeHistory,
    RelaySettings,
    choose_reader,
    choose_readers,
)
from halldoor.gateway.caller import Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.store import MetadataStore, StoreError
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.gatewaykit import GatewayKit

ADDRESS = Address(IP, 1)
NAMES = [f"e{i}" for i in range(4)]
ALWAYS = RelaySettings(fleet_limit=0, readers_at_least=1, direct_s=0.5)


def list_members(count, regions=("a", "b")):
    return [
        MemberRecord(f"e{i}", ADDRESS, "h", regions[i % len(regions)], ADDRESS)
        for i in range(count)
    ]


class TestChoiceOfReaders:
    def test_a_small_fleet_reads_the_store_itself(self):
        settings = RelaySettings(fleet_limit=12)
        members = list_members(12)
        assert all(choose_reader(m.name, m.region, members, settings) is None for m in members)

    @given(count=st.integers(25, 300))
    def test_a_few_readers_in_each_region_have_about_as_many_followers(self, count):
        settings = RelaySettings(fleet_limit=24)
        members = list_members(count)
        followed = Counter()
        for member in members:
            reader = choose_reader(member.name, member.region, members, settings)
            readers = choose_readers(members, member.region, settings)
            if reader is None:
                assert member in readers
            else:
                assert reader in readers and reader.region == member.region
                followed[reader.name] += 1
        readers = count - followed.total()
        assert readers <= max(4, count / settings.followers_per_reader + 2)
        assert max(followed.values()) <= 3 * settings.followers_per_reader

    def test_an_entry_that_passes_nothing_on_is_no_reader(self):
        members = [m._replace(relay=None) for m in list_members(40)]
        assert choose_reader("e1", "a", members, RelaySettings(fleet_limit=24)) is None

    def test_every_entry_reads_the_store_unless_readers_are_asked_for(self):
        members, usual = list_members(300), RelaySettings()
        assert all(choose_reader(m.name, m.region, members, usual) is None for m in members)


class TestChangeHistory:
    @given(
        sizes=st.lists(st.integers(0, 3), min_size=1, max_size=20),
        at=st.integers(0, 60),
    )
    def test_what_is_collected_holds_every_change_after_a_revision(self, sizes, at):
        history, revision = ChangeHistory(), 0
        for size in sizes:
            items = list(range(revision + 1, revision + size + 1))
            history.add(Batch(revision, revision + size, items, False))
            revision += size
        batch = history.collect(at)
        assert set(range(at + 1, revision + 1)) <= set(batch.items)
        assert batch.revision == max(at, revision) and batch.items == sorted(batch.items)

    def test_a_gap_begins_a_new_history(self):
        history = ChangeHistory()
        history.add(Batch(0, 5, ["a"], False))
        history.add(Batch(9, 10, ["b"], True))
        assert history.collect(4) is None
        assert history.collect(9) == Batch(9, 10, ["b"], True)


class Link(MetadataStore):
    """One entry's way to a shared store; it can be cut, and counts watches."""

    def __init__(self, store):
        self.store = store
        self.watches = 0
        self.renewals = 0
        self.is_cut = False

    async def _reach(self):
        if self.is_cut:
            raise StoreError("Cut off.", remedy="Mend the link.")

    async def read_range(self, prefix, *, after=""):
        await self._reach()
        return await self.store.read_range(prefix, after=after)

    async def watch(self, prefix, *, after, wait_s):
        await self._reach()
        self.watches += 1
        events = await self.store.watch(prefix, after=after, wait_s=wait_s)
        while self.is_cut:
            await asyncio.sleep(0.01)  # Whatever comes while the link is cut stays unheard.
        return events

    async def write(self, key, value, *, lease):
        await self._reach()
        await self.store.write(key, value, lease=lease)

    async def create_lease(self, ttl_s):
        await self._reach()
        return await self.store.create_lease(ttl_s)

    async def renew_lease(self, lease):
        await self._reach()
        self.renewals += 1
        await self.store.renew_lease(lease)

    async def end_lease(self, lease):
        await self._reach()
        await self.store.end_lease(lease)

    def put(self, key, value):
        self.store.put(key, value)


class Poller:
    """A follower that keeps the answer to its poll."""

    async def ask(self, feed, after):
        head = Head(b"GET", f"/changes?after={after}&wait_ms=50".encode(), [], 0.0)
        await feed.answer(self, head)
        return self.answer

    def send(self, answer):
        self.answer = answer


class TestChangeFeed:
    def test_what_was_followed_is_no_history_to_pass_on(self):
        """An entry that begins to read the store did not see itself what came before."""

        async def check():
            store, catalog = MemoryStore(), Catalog(CatalogTimings())
            own = MemberRecord("e0", ADDRESS, "h", "a", ADDRESS)
            feed = ChangeFeed(store, own, catalog, settings=ALWAYS, log=EventLog("e0"))
            feed.begin(10)
            assert (await Poller().ask(feed, 15)).status == 200
            feed.is_direct = False  # It follows another up to revision 20.
            assert (await Poller().ask(feed, 15)).status == 503
            for i in range(20):
                store.put(f"k{i}", b"")
            waiting = asyncio.ensure_future(feed.wait(20))
            await asyncio.sleep(0.05)
            assert (await Poller().ask(feed, 15)).status == 503
            assert (await Poller().ask(feed, 20)).status == 200
            waiting.cancel()

        asyncio.run(check())


class Fleet:
    """Four entries of one region that share a store; one of them reads it for the others."""

    def __init__(self, kits):
        self.kits = {kit.gateway.settings.name: kit for kit in kits}

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls):
        store = MemoryStore()
        async with contextlib.AsyncExitStack() as stack:
            kits = []
            for name, port in zip(NAMES, find_ports(len(NAMES)), strict=True):
                kit = GatewayKit.open(
                    targets=0,
                    is_configured=not kits,
                    store=Link(store),
                    name=name,
                    relay=Address(IP, port),
                    relaying=ALWAYS,
                    batch_s=0.05,
                )
                kits.append(await stack.enter_async_context(kit))
            fleet = cls(kits)
            await fleet.wait(lambda: len(fleet.followers) == len(NAMES) - 1)
            yield fleet

    @property
    def followers(self):
        return [k for k in self.kits.values() if not k.gateway.feed.is_direct]

    @property
    def reader(self):
        return next(k for k in self.kits.values() if k.gateway.feed.is_direct)

    async def wait(self, condition, *, limit_s=10.0):
        await next(iter(self.kits.values())).wait(condition, limit_s=limit_s)

    def has_version(self, version, *, but=None):
        return all(
            kit.gateway.catalog.routing is not None
            and kit.gateway.catalog.routing.version == version
            for kit in self.kits.values()
            if kit is not but
        )

    def configure(self, version):
        kit = next(iter(self.kits.values()))
        kit.version = version - 1
        kit.configure()


class TestRelay:
    def run(self, check):
        async def run():
            async with Fleet.open() as fleet:
                await check(fleet)

        asyncio.run(run())

    def test_followers_learn_of_changes_without_calls_to_the_store(self):
        async def check(fleet):
            followers = fleet.followers
            before = [kit.store.watches for kit in followers]
            for version in range(2, 6):
                fleet.configure(version)
                await fleet.wait(lambda v=version: fleet.has_version(v))
            assert [kit.store.watches for kit in followers] == before

        self.run(check)

    @pytest.mark.parametrize("is_replaced", [True, False])
    def test_a_dead_readers_followers_read_the_store_at_once(self, is_replaced):
        """And follow another reader once the dead one's record is gone."""

        async def check(fleet):
            dead = fleet.reader
            for server in dead.gateway._servers:
                server.close()
            for connection in list(dead.gateway._others):
                connection.abort()
            fleet.configure(2)
            await fleet.wait(lambda: fleet.has_version(2), limit_s=ALWAYS.age_limit_s + 1.0)
            if is_replaced:
                dead.store.is_cut = True
                dead.store.store.remove(f"entries/{dead.gateway.settings.name}")
                await fleet.wait(lambda: len(fleet.followers) >= 2)

        self.run(check)

    def test_a_reader_that_is_cut_from_the_store_is_left(self):
        async def check(fleet):
            cut = fleet.reader
            cut.store.is_cut = True
            fleet.configure(2)
            limit_s = ALWAYS.age_limit_s + ALWAYS.renewal_s + 0.5
            await fleet.wait(lambda: fleet.has_version(2, but=cut), limit_s=limit_s)
            cut.store.is_cut = False
            await fleet.wait(lambda: fleet.has_version(2))

        self.run(check)

    def test_a_reader_shows_more_often_that_it_reaches_the_store(self):
        async def check(fleet):
            reader = fleet.reader
            before = reader.store.renewals
            await asyncio.sleep(2.2)
            assert reader.store.renewals - before >= 3

        self.run(check)

    def test_lost_history_is_read_again_by_all(self):
        async def check(fleet):
            fleet.reader.store.store.cut()
            fleet.configure(2)
            fleet.reader.store.store.forget_history()
            await asyncio.sleep(1.5)
            fleet.reader.store.store.is_down = False
            await fleet.wait(lambda: fleet.has_version(2))
            await fleet.wait(lambda: len(fleet.followers) == len(NAMES) - 1)

        self.run(check)

    @pytest.mark.parametrize("target", ["/changes", "/changes?after=x&wait_ms=1", "/other?after=1"])
    def test_what_is_no_poll_is_not_found(self, target):
        async def check(fleet):
            address = fleet.reader.gateway.settings.relay
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            assert b"404" in await reader.readline()
            writer.transport.abort()

        self.run(check)
