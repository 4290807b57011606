"""Pauses between two watches of the store, tested in virtual time."""

from __future__ import annotations

import asyncio
import contextlib

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.proofs import find_watch_slot_wait
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

BATCH_S = 1.2
CALL_S = 0.1
"""Time that a call to the store takes at most, in seconds."""


@contextlib.asynccontextmanager
async def open_fleet(*, entries, targets=0):
    """Open a fleet whose halls have no readers, so that each entry watches the store."""
    fleet = StoreFleet(entries=entries, halls=entries // 2, targets=targets)
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    for entry in fleet.entries.values():
        entry.feed.batch_s = BATCH_S
    await fleet.wait_until_synchronized(1)
    await asyncio.sleep(5.0)
    try:
        yield fleet
    finally:
        fleet.stop()


def list_entries_with_version(fleet, version):
    return [e for e in fleet.entries.values() if e.catalog.configuration_version == version]


def test_pauses_of_entries_after_a_change_do_not_coincide():
    """A change ended all watches at once, and all entries then paused for the same 1.2 s."""

    async def check():
        async with open_fleet(entries=10) as fleet:
            fleet.configure(2)
            await fleet.wait_until_synchronized(2)
            fleet.configure(3)
            # Half of the pause and a notice use up only a small part of any time bound.
            await asyncio.sleep(BATCH_S / 2)
            assert list_entries_with_version(fleet, 3)
            await asyncio.sleep(BATCH_S / 2 + CALL_S)
            assert len(list_entries_with_version(fleet, 3)) == 10

    virtualtime.run(check())


def test_skip_pause_ends_pause():
    async def check():
        async with open_fleet(entries=10) as fleet:
            fleet.configure(2)
            await fleet.wait_until_synchronized(2)
            fleet.configure(3)
            for entry in fleet.entries.values():
                entry.feed.skip_pause()
            await asyncio.sleep(CALL_S)
            assert len(list_entries_with_version(fleet, 3)) == 10

    virtualtime.run(check())


def test_frequent_changes_cost_one_watch_per_pause():
    async def check():
        async with open_fleet(entries=10) as fleet:
            began = asyncio.get_running_loop().time()
            for _ in range(60):
                fleet.write_target(0, "h0")
                await asyncio.sleep(BATCH_S / 6)
            calls = fleet.count_calls(began, began + 10 * BATCH_S)
            # One more for the watch that was open at the start.
            assert calls["watch"] <= 10 * (10 + 1)

    virtualtime.run(check())


def test_notices_of_draining_targets_cost_no_extra_watches():
    """Each notice made every entry call the store for a change that the notice contained."""

    async def check():
        async with open_fleet(entries=10, targets=60) as fleet:
            began = asyncio.get_running_loop().time()
            for number in range(60):
                fleet.write_target(number, "h0", is_draining=True)
                await asyncio.sleep(BATCH_S / 6)
            calls = fleet.count_calls(began, began + 10 * BATCH_S)
            # One more for the watch that was open at the start.
            assert calls["watch"] <= 10 * (10 + 1)
            # The notice of the last target may still be under way.
            await asyncio.sleep(BATCH_S)
            for entry in fleet.entries.values():
                assert not entry.catalog.list_usable("deck")

    virtualtime.run(check())


@given(
    now=st.floats(0.0, 1e6),
    period_s=st.floats(0.01, 10.0),
    phase=st.floats(0.0, 1.0, exclude_max=True),
)
def test_pause_until_slot_is_at_most_one_period(now, period_s, phase):
    pause_s = find_watch_slot_wait(now, period_s=period_s, phase=phase)
    assert 0.0 <= pause_s <= period_s
    assert find_watch_slot_wait(now, period_s=0.0, phase=phase) == 0.0
