"""An entry whose own record is removed at a moment when it doesn't see that."""

from __future__ import annotations

import asyncio

from halldoor.gateway.store import Events
from halldoor.standins.memorystore import MemoryStore
from halldoor.tests.gatewaykit import GatewayKit

KEY = "entries/e1"


class CompactingStore(MemoryStore):
    """Store whose watches get only the last change of each key."""

    async def watch(self, prefix, *, after, wait_s):
        events = await super().watch(prefix, after=after, wait_s=wait_s)
        last = {item.key: item for item in events.items}
        return Events(list(last.values()), events.revision)


class SlowWritingStore(MemoryStore):
    """Store whose first write is removed before its answer arrives."""

    is_first = True

    async def write(self, key, value, *, lease):
        await super().write(key, value, lease=lease)
        if key == KEY and self.is_first:
            self.is_first = False
            await asyncio.sleep(0.2)
            self.remove(key)
            await asyncio.sleep(0.2)


class UnreadableStore(MemoryStore):
    """Store that returns the entry's record in a form that can't be read."""

    writes = renewals = 0

    async def write(self, key, value, *, lease):
        self.writes += key == KEY
        await super().write(key, b"-" if key == KEY else value, lease=lease)

    async def renew_lease(self, lease):
        self.renewals += 1
        await super().renew_lease(lease)


def run_entry(store, disturb, output):
    """Run an entry until its record is in the store, disturb it, and wait for the record."""

    async def run():
        async with GatewayKit.open(store=store) as kit:
            await kit.wait(lambda: KEY in store.copy().values)
            await disturb()
            await kit.wait(lambda: KEY in store.copy().values, limit_s=5.0)
            assert store.find_lease(KEY)
            await kit.wait(lambda: "e1" in kit.gateway.catalog.members, limit_s=5.0)

    asyncio.run(run())
    assert "Own record is gone; writing it again." in output.readouterr().out


def test_entry_whose_record_is_removed_before_it_has_read_it_stays_unregistered(capfd):
    """Only the removal arrives, of a record that the entry doesn't know."""
    store = CompactingStore()
    store.is_withholding_changes = True

    async def disturb():
        store.remove(KEY)
        await asyncio.sleep(0.3)
        store.is_withholding_changes = False
        store.put("other", b"{}")

    run_entry(store, disturb, capfd)


def test_entry_whose_record_is_missing_in_a_full_read_stays_unregistered(capfd):
    """The history with the record and its removal is gone."""
    store = MemoryStore()
    store.open_gap()

    async def disturb():
        store.remove(KEY)
        await asyncio.sleep(0.3)
        store.close_gap()

    run_entry(store, disturb, capfd)


def test_entry_whose_record_is_removed_while_its_write_is_answered_stays_unregistered(capfd):
    async def disturb():
        await asyncio.sleep(1.0)

    run_entry(SlowWritingStore(), disturb, capfd)


def test_entry_whose_record_cannot_be_read_writes_it_without_a_pause():
    """Each write was answered by another one, and the lease was never renewed."""
    store = UnreadableStore()

    async def run():
        async with GatewayKit.open(store=store):
            await asyncio.sleep(5.0)

    asyncio.run(run())
    assert store.writes <= 7
    assert store.renewals >= 2
