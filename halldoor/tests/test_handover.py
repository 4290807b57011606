"""Transfer of all records of the store from one entry to another.

Every entry read all pages of the store when it was restored from a copy, and at its own start: 150
pages at 75 entries and 450 targets.  With that came 354 watches where 50 are usual, as each
follower left its reader for 3 s: it took the answer that the reader follows another copy for a
failure.

    entries, halls   event            ranges   watches
    75, 6            store restored   150      354
    75, 6            all start again  150      134
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.targets.relay import WantedEra, choose_readers
from halldoor.gateway.handover import RECORDS_PATH, RecordSetAnswer, request_records
from halldoor.gateway.httpclient import HttpAnswer
from halldoor.gateway.store import StoredItem
from halldoor.standins import storefleet, virtualtime
from halldoor.standins.storefleet import StoreFleet

IN_STEP_S = 5.0
"""Time within which all entries must hold the store's records, in seconds."""
RESTORED_S = 10.0
"""The same limit after a restore: records that the copy lacks may be written again first."""
HALLS = 2
TARGETS = 60
PAGES = 2
"""Number of pages that the records of targets and entries fill."""


def open_fleet(*, entries=16, targets=TARGETS):
    return StoreFleet.open(entries=entries, halls=HALLS, targets=targets, page_items=50)


def list_readers(fleet):
    """Return the entries that read the store for others."""
    members = next(iter(fleet.entries.values())).catalog.members.values()
    readers = [r for i in range(HALLS) for r in choose_readers(members, f"h{i}", fleet.settings)]
    return [fleet.entries[reader.relay.port] for reader in readers]


def count_ranges(fleet, since):
    return fleet.count_calls(since, asyncio.get_running_loop().time())["range"]


def list_targets(entry):
    return {target.name for target in entry.catalog.list_targets()}


class TestRestoredStore:
    def test_only_readers_read_restored_store(self):
        async def check():
            async with open_fleet() as fleet:
                copy = fleet.store.copy()
                fleet.configure(2)
                await asyncio.sleep(2.0)
                began = asyncio.get_running_loop().time()
                await fleet.restore(copy)
                fleet.configure(3)
                assert await fleet.wait_until_synchronized(3) < IN_STEP_S
                assert count_ranges(fleet, began) == len(list_readers(fleet)) * PAGES
                assert {len(list_targets(entry)) for entry in fleet.entries.values()} == {TARGETS}

        virtualtime.run(check())

    @pytest.mark.parametrize("fault", ["dead", "cut", "silent"])
    def test_entries_without_reader_read_restored_store_themselves(self, fault):
        async def check():
            async with open_fleet() as fleet:
                copy = fleet.store.copy()
                (reader, _) = list_readers(fleet)
                if fault == "dead":
                    reader.stop()
                elif fault == "cut":
                    reader.link.is_cut = True
                else:
                    reader.feed.answer = hang
                await fleet.restore(copy)
                fleet.configure(3)
                others = [entry for entry in fleet.entries.values() if entry is not reader]
                async with asyncio.timeout(IN_STEP_S):
                    while any(e.catalog.configuration_version != 3 for e in others):
                        await asyncio.sleep(0.01)

        virtualtime.run(check())

    def test_outdated_reader_causes_no_further_reads_by_followers(self):
        """A reader that is cut off from the store keeps the records of the older copy.

        Each follower that returned to it found another copy, and read all pages again: every 3.5 s.
        """

        async def check():
            async with open_fleet() as fleet:
                copy = fleet.store.copy()
                (reader, _) = list_readers(fleet)
                reader.link.is_cut = True
                await fleet.restore(copy)
                fleet.configure(2)
                await asyncio.sleep(IN_STEP_S)
                since = asyncio.get_running_loop().time()
                await asyncio.sleep(20.0)
                assert count_ranges(fleet, since) == 0
                others = [entry for entry in fleet.entries.values() if entry is not reader]
                assert {entry.catalog.configuration_version for entry in others} == {2}

        virtualtime.run(check())


class TestRestoreWhileReading:
    def test_pages_of_two_copies_are_not_combined(self):
        """The store is restored between two pages of one read.

        The entry watched from the first page's revision, a number that the restored store used
        again, so that it never saw the configuration written there:

            1.346  RESTORED era 2
            1.441  store: Its history is gone; reading all again.
            1.446  RESTORED era 3
            1.457  routing: In force.  version 3  revision 78

        Ten seconds later it still had version 3 where the store held 4.
        """

        async def check():
            async with open_fleet(entries=1) as fleet:
                fleet.configure(2)
                (entry,) = fleet.entries.values()
                copy = fleet.store.copy()
                fleet.configure(3)
                read_range = entry.link.read_range

                async def restore_and_read(prefix, *, after=""):
                    if after and fleet.store.restore_count < 2:
                        fleet.store.restore(copy)
                        fleet.configure(4)
                    return await read_range(prefix, after=after)

                entry.link.read_range = restore_and_read
                fleet.store.restore(copy)
                fleet.configure(3)
                await fleet.wait_until_synchronized(4, limit_s=IN_STEP_S)

        virtualtime.run(check())


async def hang(caller, head):
    await asyncio.sleep(60.0)


class TestStart:
    def test_starting_entry_reads_only_first_page(self):
        async def check():
            async with open_fleet() as fleet:
                reader = list_readers(fleet)[0]
                (port, old) = next(
                    (p, e) for p, e in fleet.entries.items() if e is not reader and p % HALLS == 0
                )
                old.stop()
                began = asyncio.get_running_loop().time()
                new = fleet.restart_entry(port)
                await asyncio.wait_for(new.sync.is_loaded.wait(), IN_STEP_S)
                assert count_ranges(fleet, began) == 1
                assert list_targets(new) == list_targets(reader)

        virtualtime.run(check())

    @pytest.mark.parametrize("answer", [HttpAnswer(200, b"rubbish"), HttpAnswer(503, b"")])
    def test_invalid_answer_of_reader_is_ignored(self, answer, monkeypatch):
        async def call(self, method, target, **options):
            return answer

        async def check():
            async with open_fleet() as fleet:
                monkeypatch.setattr(storefleet.ModelClient, "call", call)
                await fleet.start(within_s=0.5)
                await fleet.wait_until_synchronized(1, limit_s=IN_STEP_S)
                assert {len(list_targets(entry)) for entry in fleet.entries.values()} == {TARGETS}

        virtualtime.run(check())

    def test_transferred_records_are_compressed(self):
        """All entries of a hall fetch them at once, over links that also carry requests."""

        async def check():
            async with open_fleet() as fleet:
                address = list_readers(fleet)[0].feed._own.relay
                client = storefleet.ModelClient(fleet, address)
                plain = await client.call("GET", f"{RECORDS_PATH}?newest=0", timeout_s=1.0)
                handed = fleet.answer_bytes
                whole = await request_records(client, WantedEra("0"), timeout_s=1.0)
                assert fleet.answer_bytes - handed < len(plain.body) / 3
                # An entry of an earlier version requests uncompressed records.
                old = msgspec.msgpack.decode(plain.body, type=RecordSetAnswer)
                items = msgspec.msgpack.decode(old.items, type=list[StoredItem])
                assert items == whole.items

        virtualtime.run(check())

    @pytest.mark.parametrize("target", ["/records", "/records?left=1", "/recordsx?newest=1"])
    def test_invalid_record_request_gets_404(self, target):
        async def check():
            async with open_fleet(entries=2, targets=0) as fleet:
                client = storefleet.ModelClient(fleet, storefleet.Address(storefleet.IP, 1))
                assert (await client.call("GET", target, timeout_s=9.0)).status == 404

        virtualtime.run(check())


ERAS = st.sampled_from(["", "0", "1", "2", "10", "x"])


class TestWantedEra:
    @given(newest=ERAS, left=st.none() | ERAS, era=ERAS)
    def test_left_or_older_copy_is_never_accepted(self, newest, left, era):
        if WantedEra(newest, left).is_satisfied_by(era):
            assert era != left
            assert era == newest or int(era) > int(newest)

    def test_newer_copy_is_accepted(self):
        assert WantedEra("3", "3").is_satisfied_by("4")
        assert not WantedEra("3", "3").is_satisfied_by("3")
        assert not WantedEra("3").is_satisfied_by("4")


@settings(max_examples=8)
@given(
    kills=st.lists(st.tuples(st.integers(1, 16), st.floats(0.0, 4.0)), max_size=6),
    cuts=st.lists(st.tuples(st.integers(1, 16), st.floats(0.0, 4.0)), max_size=4),
    restores=st.lists(st.floats(0.1, 3.0), min_size=1, max_size=3),
    away_s=st.sampled_from([0.0, 0.5, 2.0]),
)
def test_all_entries_hold_stored_records_after_restores(kills, cuts, restores, away_s):
    """Entries are killed and replaced, or cut off for 1.5 s, while the store is restored."""

    async def check():
        async with open_fleet() as fleet:
            loop = asyncio.get_running_loop()
            copy = fleet.store.copy()
            for port, at in kills:
                loop.call_later(at, fleet.restart_entry, port)
            for port, at in cuts:
                loop.call_later(at, fleet.cut_off_from_store, port, 1.5)
            for version, after_s in enumerate(restores, start=2):
                fleet.write_target(TARGETS + version, "h0")
                await asyncio.sleep(after_s)
                await fleet.restore(copy, away_s=away_s)
                fleet.configure(version)
            await asyncio.sleep(RESTORED_S)
            held = [list_targets(entry) for entry in fleet.entries.values()]
            stored = {key.removeprefix("targets/") for key in fleet.store.list_keys("targets/")}
            assert all(names == stored for names in held)
            assert fleet.is_synchronized(version)

    virtualtime.run(check())
