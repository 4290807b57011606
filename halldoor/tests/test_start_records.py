"""Records with which an entry starts that takes them over from another entry."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.gateway.firstpage import add_first_page
from halldoor.gateway.handover import RecordSet
from halldoor.gateway.store import Page, StoredItem
from halldoor.standins import virtualtime
from halldoor.tests.test_handover import HALLS, list_readers, list_targets, open_fleet


def make_items(keys, value):
    return [StoredItem(key, value) for key in keys]


class TestFirstPage:
    @pytest.mark.parametrize("revision", [5, 6])
    def test_older_page_adds_nothing(self, revision):
        records = RecordSet(make_items("abc", b"1"), revision, "0", 1.0)
        assert add_first_page(records, Page(make_items("ab", b"0"), True, 5)) == records

    def test_newer_page_replaces_its_part(self):
        records = RecordSet(make_items("abcd", b"1"), 5, "0", 1.0)
        combined = add_first_page(records, Page(make_items("ac", b"2"), True, 9))
        assert combined.items == [*make_items("ac", b"2"), *make_items("d", b"1")]
        assert (combined.revision, combined.newest, combined.proven_at) == (5, 9, 1.0)


def test_entry_takes_no_records_over_that_are_older_than_a_page_it_read():
    """Regression: the oldest page decided, so that a newer configuration was taken back."""

    async def check():
        async with open_fleet(entries=1) as fleet:
            (entry,) = fleet.entries.values()
            read = await entry.sync._read_records()
            older = read._replace(revision=read.revision - 1)
            entry.sync._apply_records(read._replace(revision=older.revision - 1))

            async def fetch_records(*_):
                return older

            entry.feed.fetch_records = fetch_records
            assert (await entry.sync._read_records()).revision >= read.newest

    virtualtime.run(check())


def test_starting_entry_has_the_configuration_that_it_read():
    """Regression: it began with its reader's, which was older, and refused the new routes."""

    async def check():
        async with open_fleet() as fleet:
            reader = list_readers(fleet)[0]
            port = next(p for p, e in fleet.entries.items() if e is not reader and p % HALLS == 0)
            fleet.entries[port].stop()
            reader.link.silence_watch()
            await asyncio.sleep(0.1)
            fleet.configure(2)
            fleet.store.remove("targets/t00000")
            assert reader.catalog.configuration_version == 1
            entry = fleet.restart_entry(port)
            await asyncio.wait_for(entry.sync.is_loaded.wait(), 1.0)
            assert entry.events.counts["relay: Received all records from a reader."] == 1
            assert entry.catalog.configuration_version == 2
            await asyncio.sleep(1.0)
            assert entry.catalog.configuration_version == 2
            assert "t00000" not in list_targets(entry)

    virtualtime.run(check())
