"""Relaying of changes from a hall's readers of the store to its other entries."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.decoding import MAX_BYTES, DecodingError
from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.contact import ContactReport, compute_contact_span
from halldoor.core.targets.history import Batch, ChangeHistory
from halldoor.core.targets.proofs import compute_poll_proof, compute_watch_proof
from halldoor.core.targets.relay import (
    CHANGE_PATHS,
    PROOF_SHARE,
    RelaySettings,
    choose_reader,
    choose_readers,
)
from halldoor.gateway.polls import (
    ItemBlock,
    Poll,
    RelayedChanges,
    decode_poll_answer,
    parse_poll,
    unpack_items,
)
from halldoor.gateway.store import MetadataStore, StoredItem, StoreError
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.gatewaykit import GatewayKit

ADDRESS = Address(IP, 1)
NAMES = [f"e{i}" for i in range(4)]
USUAL = RelaySettings()
SMALL = RelaySettings(least_entries=2, bound_s=2.0, direct_s=0.5)


def list_members(count, halls=("a", "b")):
    return [
        MemberRecord(f"e{i}", ADDRESS, halls[i % len(halls)], "r", ADDRESS) for i in range(count)
    ]


class TestChoiceOfReaders:
    def test_entries_of_small_hall_watch_store_themselves(self):
        members = list_members(2 * (USUAL.least_entries - 1))
        assert choose_readers(members, "a", USUAL) == []
        assert choose_reader("e0", []) is None

    @given(count=st.integers(2 * USUAL.least_entries, 400))
    def test_readers_are_few_and_followers_are_balanced(self, count):
        followed = Counter()
        members = list_members(count)
        for member in members:
            readers = choose_readers(members, member.hall, USUAL)
            reader = choose_reader(member.name, readers)
            if reader is None:
                assert member in readers
            else:
                assert reader in readers and reader.hall == member.hall
                followed[reader.name] += 1
        readers = count - followed.total()
        assert readers <= count / USUAL.followers_per_reader + 2
        assert max(followed.values()) <= 3 * USUAL.followers_per_reader

    def test_one_entry_reads_from_three_entries_on_and_none_in_pairs(self):
        """Each of the 35 entries of 6 halls watched for itself: the largest cost of such a fleet.

        With two entries, the reader's short watches would cost more than the other's watch.
        """
        assert [len(choose_readers(list_members(n, "a"), "a", USUAL)) for n in (1, 2, 3, 5, 6)] == [
            0,
            0,
            1,
            1,
            1,
        ]

    def test_reader_of_large_hall_keeps_its_short_pause(self):
        pauses_s = [USUAL.find_pause_s(0.0, entries=n) for n in (3, 7, 8, 64)]
        assert pauses_s == [0.5, 0.5, 0.2, 0.2]

    @given(st.lists(st.sampled_from([None, 10.0, 12.0, 100.0, 200.0, 1e-300, 1e300]), min_size=3))
    def test_entry_with_narrow_link_reads_for_others(self, links):
        """An entry with 10 Mbit/s received each megabyte first, and sent it to all others."""
        members = [
            m._replace(hall="a", link_mbps=link)
            for m, link in zip(list_members(len(links)), links, strict=True)
        ]
        (reader, *others) = choose_readers(members, "a", USUAL)
        assert choose_readers(members[::-1], "a", USUAL) == [reader, *others]
        assert len(others) == (len(links) - 1) // USUAL.followers_per_reader
        widest = max((link for link in links if link is not None), default=0.0)
        assert reader.link_mbps is None or reader.link_mbps > widest / 2

    def test_entries_with_about_equal_links_keep_their_order(self):
        usual = choose_readers(list_members(80), "a", USUAL)
        members = [m._replace(link_mbps=10.0 + i % 3) for i, m in enumerate(list_members(80))]
        assert [m.name for m in choose_readers(members, "a", USUAL)] == [m.name for m in usual]

    def test_entry_without_relay_address_is_no_reader(self):
        members = [m._replace(relay=None) for m in list_members(40)]
        assert choose_readers(members, "a", USUAL) == []

    @given(bound_s=st.floats(0.5, 10.0), age_s=st.floats(0.0, 10.0))
    def test_working_reader_answers_before_followers_leave(self, bound_s, age_s):
        settings = RelaySettings(bound_s=bound_s)
        quiet_s = settings.find_watch_s(is_after_changes=False)
        busy_s = settings.find_watch_s(is_after_changes=True)
        assert quiet_s + settings.pause_s + busy_s < settings.age_limit_s < bound_s
        for waited_s, entries in ((0.0, 3), (quiet_s / 2, 3), (quiet_s, 7), (quiet_s, 8)):
            pause_s = settings.find_pause_s(waited_s, entries=entries)
            assert settings.pause_s <= pause_s <= settings.budget.reader_pause_s
            assert waited_s + pause_s + busy_s <= PROOF_SHARE * bound_s + 1e-9
        assert settings.poll_at_least_s <= settings.find_poll_s(age_s)
        assert settings.find_poll_s(age_s) <= max(settings.poll_at_least_s, settings.age_limit_s)


class TestBudget:
    @pytest.mark.parametrize("name", CHANGE_PATHS)
    @given(bound_s=st.floats(2.0, 10.0))
    def test_time_limits_of_each_chain_sum_to_at_most_bound(self, name, bound_s):
        """With a limit for each step alone, a lost reader plus a lost history took 2.5 s, not 2."""
        assert RelaySettings(bound_s=bound_s).budget.add_up(CHANGE_PATHS[name]) <= bound_s

    @given(bound_s=st.floats(0.5, 10.0), age_s=st.floats(0.0, 10.0))
    def test_poll_times_out_when_follower_state_is_too_old(self, bound_s, age_s):
        settings = RelaySettings(bound_s=bound_s)
        ends_s = age_s + settings.find_poll_s(age_s) + settings.find_answer_s(age_s)
        assert ends_s <= max(settings.age_limit_s, age_s + 2 * settings.poll_at_least_s) + 1e-9


def drop_removed(values):
    return {key: value for key, value in values.items() if value is not None}


class TestPackedChanges:
    def test_order_of_changes_is_kept_and_large_update_is_packed_once(self):
        """The changes of a follower's poll were sent uncompressed, a megabyte to each."""
        large = [StoredItem("op", b"route " * 50_000), StoredItem("a", b"1")]
        blocks = [ItemBlock([StoredItem("a", b"0")]), ItemBlock(large)]
        assert [block.is_large for block in blocks] == [False, True]
        assert blocks[1].packed is blocks[1].packed
        assert len(blocks[1].packed) < 10_000
        sent = [*blocks[0], blocks[1].packed, StoredItem("op", None)]
        assert unpack_items(sent) == [*blocks[0], *large, StoredItem("op", None)]

    def test_earlier_release_gets_plain_changes(self):
        assert parse_poll("/changes?after=3&wait_ms=5&era=0") == Poll(
            3, 0.005, "0", accepts_packed=False
        )
        plain = msgspec.msgpack.encode(RelayedChanges([StoredItem("k", b"v")], 3, 0.0, 0.0))
        changes = decode_poll_answer(200, plain)
        assert unpack_items(changes.items) == [StoredItem("k", b"v")]

    def test_blocks_that_unpack_to_too_much_are_rejected(self):
        block = ItemBlock([StoredItem("k", bytes(MAX_BYTES // 2))]).packed
        assert len(unpack_items([block])) == 1
        with pytest.raises(DecodingError, match="larger"):
            unpack_items([block] * 2)
        with pytest.raises(DecodingError):
            unpack_items([b"rubbish"])


class TestChangeHistory:
    @given(
        sizes=st.lists(st.integers(0, 3), min_size=1, max_size=20),
        at=st.integers(0, 60),
    )
    def test_collected_batch_contains_all_changes_after_revision(self, sizes, at):
        history, revision = ChangeHistory(), 0
        for size in sizes:
            items = list(range(revision + 1, revision + size + 1))
            history.add(Batch(revision, revision + size, items))
            revision += size
        batch = history.collect(at)
        assert set(range(at + 1, revision + 1)) <= set(batch.items)
        assert batch.revision == max(at, revision) and batch.items == sorted(batch.items)

    @given(
        steps=st.lists(
            st.tuples(
                st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([None, 0, 1]))),
                st.booleans(),
            ),
            min_size=1,
            max_size=12,
        ),
    )
    def test_difference_leads_every_follower_to_same_state(self, steps):
        """Also a follower ahead of its reader, with changes that the difference leaves out."""
        table, states = {}, [{}]
        history = ChangeHistory()
        history.add(Batch(0, 0, []))
        for changes, is_difference in steps:
            after, before = len(states) - 1, dict(table)
            for key, value in changes:
                table[key] = value
                states.append(dict(table))
            items = changes
            if is_difference:
                items = [(k, v) for k, v in table.items() if before.get(k) != v]
            history.add(Batch(after, len(states) - 1, items, is_difference))
        for at, state in enumerate(states):
            batch = history.collect(at)
            assert batch is not None or any(is_difference for _, is_difference in steps)
            if batch is not None:
                assert drop_removed(state | dict(batch.items)) == drop_removed(table)

    def test_up_to_date_follower_continues_after_difference(self):
        history = ChangeHistory()
        history.add(Batch(0, 5, ["a"]))
        history.add(Batch(5, 9, ["b"], is_difference=True))
        history.add(Batch(9, 11, []))
        assert history.collect(9) == Batch(9, 11, [])
        assert history.collect(5).items == ["b"]
        assert history.collect(7) is None

    def test_gap_starts_new_history(self):
        history = ChangeHistory()
        history.add(Batch(0, 5, ["a"]))
        history.add(Batch(9, 10, ["b"]))
        assert history.collect(4) is None
        assert history.collect(9) == Batch(9, 10, ["b"])


delays = st.floats(0.0, 3.0)


class TestProofs:
    @given(sent_at=delays, there_s=delays, change_s=delays, back_s=delays, wait_s=delays)
    def test_watch_proof_is_not_later_than_store_answer(
        self, sent_at, there_s, change_s, back_s, wait_s
    ):
        """With any travel time, the proof is not later than the moment the store answered."""
        arrived = sent_at + there_s
        has_changes = change_s < wait_s
        answered = arrived + min(change_s, wait_s)
        proven = compute_watch_proof(
            sent_at=sent_at,
            wait_s=wait_s,
            returned_at=answered + back_s,
            has_changes=has_changes,
        )
        assert proven <= answered + 1e-9

    @given(proven=delays, then_s=delays, there_s=delays, held_s=delays, back_s=delays)
    def test_poll_proof_is_not_later_than_reader_proof(
        self, proven, then_s, there_s, held_s, back_s
    ):
        sent_at = proven + then_s
        answered = sent_at + there_s + held_s
        dated = compute_poll_proof(sent_at=sent_at, held_s=held_s, age_s=answered - proven)
        assert dated <= proven + 1e-9

    @given(away_s=delays, heard_s=delays, there_s=delays, held_s=delays, back_s=delays)
    def test_report_never_exceeds_actual_contact(self, away_s, heard_s, there_s, held_s, back_s):
        since, answered = 0.0, away_s + heard_s
        sent_at = answered - held_s - there_s
        span = compute_contact_span(
            ContactReport(answered - since, heard_s),
            sent_at=sent_at,
            held_s=held_s,
            received_at=answered + back_s,
        )
        assert since - 1e-9 <= span.since and span.until <= answered - heard_s + 1e-9

    @given(delays_s=st.lists(st.tuples(delays, delays), min_size=2, max_size=20))
    def test_entries_polling_each_other_in_a_ring_gain_no_newer_proof(self, delays_s):
        proven = now = 0.0
        for there_s, held_s in delays_s:
            age_s = now + there_s + held_s - proven
            sent_at, now = now, now + there_s + held_s
            proven = compute_poll_proof(sent_at=sent_at, held_s=held_s, age_s=age_s)
            assert proven <= 1e-9


class Link(MetadataStore):
    """One entry's link to a shared store; it can be cut, and counts watches."""

    def __init__(self, store):
        self.store = store
        self.watches = 0
        self.is_cut = False
        self.is_watch_stuck = False

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
        while self.is_cut or self.is_watch_stuck:
            await asyncio.sleep(0.01)  # Answers that arrive while the link is cut are held back.
        return events

    async def write(self, key, value, *, lease):
        await self._reach()
        await self.store.write(key, value, lease=lease)

    async def claim(self, key, *, lease):
        await self._reach()
        return await self.store.claim(key, lease=lease)

    async def create_lease(self, ttl_s):
        await self._reach()
        return await self.store.create_lease(ttl_s)

    async def renew_lease(self, lease):
        await self._reach()
        await self.store.renew_lease(lease)

    async def end_lease(self, lease):
        await self._reach()
        await self.store.end_lease(lease)

    def put(self, key, value):
        self.store.put(key, value)


class Fleet:
    """Fleet of four entries in one hall that share a store; one reads it for the others."""

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
                    relaying=SMALL,
                    batch_s=0.05,
                )
                kits.append(await stack.enter_async_context(kit))
            fleet = cls(kits)
            await fleet.wait(lambda: len(fleet.followers) == len(NAMES) - 1)
            # Until the first polls are sent, so that no follower watches the store any more.
            await asyncio.sleep(2 * SMALL.direct_s)
            yield fleet

    @property
    def followers(self):
        return [k for k in self.kits.values() if not k.gateway.feed.watches_store]

    @property
    def reader(self):
        return next(k for k in self.kits.values() if k.gateway.feed.watches_store)

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

    def test_followers_get_changes_without_store_calls(self):
        async def check(fleet):
            followers = fleet.followers
            before = [kit.store.watches for kit in followers]
            for version in range(2, 6):
                fleet.configure(version)
                await fleet.wait(lambda v=version: fleet.has_version(v))
            await asyncio.sleep(SMALL.age_limit_s)
            assert [kit.store.watches for kit in followers] == before

        self.run(check)

    @pytest.mark.parametrize("is_replaced", [True, False])
    def test_followers_of_crashed_reader_read_store_immediately(self, is_replaced):
        """They follow another reader once the crashed one's record is gone."""

        async def check(fleet):
            dead = fleet.reader
            for server in dead.gateway.ports._servers:
                server.close()
            for connection in list(dead.gateway.ports._connections):
                connection.abort()
            fleet.configure(2)
            await fleet.wait(lambda: fleet.has_version(2), limit_s=SMALL.bound_s)
            if is_replaced:
                dead.store.is_cut = True
                dead.store.store.remove(f"entries/{dead.gateway.settings.name}")
                await fleet.wait(lambda: len(fleet.followers) >= 2)

        self.run(check)

    @pytest.mark.parametrize("fault", ["is_cut", "is_watch_stuck"])
    def test_followers_leave_reader_without_store_contact_within_bound(self, fault):
        """Also a reader that renews its lease while its watch hangs: that proves no contact."""

        async def check(fleet):
            cut = fleet.reader
            setattr(cut.store, fault, True)
            fleet.configure(2)
            await fleet.wait(lambda: fleet.has_version(2, but=cut), limit_s=SMALL.bound_s)
            setattr(cut.store, fault, False)
            await fleet.wait(lambda: fleet.has_version(2))

        self.run(check)

    def test_all_entries_read_again_after_lost_history(self):
        async def check(fleet):
            fleet.reader.store.store.take_down()
            fleet.configure(2)
            fleet.reader.store.store.forget_history()
            await asyncio.sleep(1.5)
            fleet.reader.store.store.is_down = False
            await fleet.wait(lambda: fleet.has_version(2))
            await fleet.wait(lambda: len(fleet.followers) == len(NAMES) - 1)

        self.run(check)

    @pytest.mark.parametrize("target", ["/changes", "/changes?after=x&wait_ms=1", "/other?after=1"])
    def test_invalid_poll_gets_404(self, target):
        async def check(fleet):
            address = fleet.reader.gateway.settings.relay
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            assert b"404" in await reader.readline()
            writer.transport.abort()

        self.run(check)
