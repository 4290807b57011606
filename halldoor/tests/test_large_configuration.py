"""Configurations that take an entry's link longer than a small answer, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.substitute import HELP_S
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import IP, Address, ModelClient, StoreFleet

BOUND_S = 3.0
"""Time in which a configuration has to be in force everywhere, in seconds."""
HALLS = (6, 6, 6, 6, 6, 5)
NARROW_MBPS = 4.72
"""Bandwidth that callers leave of a narrow link, in Mbit/s: 590 kB/s."""
WIDE_MBPS = 200.0
TARGETS = 130
ROUTES = 5_000
WAIT_S = 0.2


def list_links(*, has_wide):
    """Return the links of all entries by port: two of each hall are wide, or none."""
    places = [i for count in HALLS for i in range(count)]
    return {
        port: WIDE_MBPS if has_wide and place < 2 else NARROW_MBPS
        for port, place in enumerate(places, 1)
    }


def open_fleet(*, has_wide=True):
    """Start entries that have a small configuration, of version 1."""
    return StoreFleet.open(
        entries=HALLS,
        halls=len(HALLS),
        targets=TARGETS,
        settings=RelaySettings(bound_s=BOUND_S),
        links_mbps=list_links(has_wide=has_wide),
    )


@pytest.mark.parametrize("has_wide", [True, False])
def test_large_configuration_never_arrives_over_narrow_link(has_wide):
    """Each call for it was given up after a second or less, and made again from the start."""

    async def run():
        async with open_fleet(has_wide=has_wide) as fleet:
            assert fleet.configure(2, routes=ROUTES) > 1_000_000
            assert await fleet.wait_until_synchronized(2, limit_s=60.0) <= BOUND_S

    virtualtime.run(run())


def test_follower_without_reader_waits_for_slow_answer_of_the_store():
    """Its own watch took 2.6 s for the answer, while all other entries had the configuration."""

    async def run():
        async with open_fleet() as fleet:
            fleet.entries.pop(fleet.list_readers()[0]).stop()
            fleet.configure(2, routes=7_000)
            async with asyncio.timeout(BOUND_S / 2):
                while any(e.catalog.configuration_version != 2 for e in fleet.entries.values()):
                    await asyncio.sleep(0.01)

    virtualtime.run(run())


def test_answer_that_arrives_is_given_up_after_notice():
    """Each notice of a configuration ended the watch that was bringing it."""

    async def run():
        async with open_fleet(has_wide=False) as fleet:
            (port, *_) = fleet.list_readers()
            entry = fleet.entries[port]
            fleet.configure(2, routes=7_000)
            await asyncio.sleep(0.5)
            arrival = entry.link.watch_arrival
            assert entry.feed.is_answer_arriving
            entry.sync.renew_watch("other entries are ahead")
            await asyncio.sleep(0.5)
            assert entry.link.watch_arrival is arrival

    virtualtime.run(run())


def test_entry_of_earlier_release_polls_busily_during_long_answer():
    """A reader tells at once that it receives for long; an earlier release does not read that."""

    async def run():
        async with open_fleet(has_wide=False) as fleet:
            (port, *_) = fleet.list_readers()
            entry = fleet.entries[port]
            fleet.configure(2, routes=7_000)
            await asyncio.sleep(0.8)
            client = ModelClient(fleet, Address(IP, port))
            loop = asyncio.get_running_loop()
            for query in ("", "&packed=1&needs_contact=1"):
                polls, until = 0, loop.time() + 0.6
                while loop.time() < until:
                    after = f"after={entry.sync.view.revision}&wait_ms={WAIT_S * 1000:.0f}"
                    await client.call("GET", f"/changes?{after}&era=0{query}", timeout_s=1.0)
                    polls += 1
                assert polls <= 15  # Without a pause they are 74.
            assert entry.feed.is_answer_arriving

    virtualtime.run(run())


@pytest.mark.parametrize("entries", [1, 3])
def test_configuration_is_read_again_and_again_over_link_below_progress_limit(entries):
    """A link share of 25 kB/s: each read of the page was given up after 4 s."""

    async def run():
        options = {"entries": (entries,), "halls": 1, "targets": 5, "links_mbps": {1: 0.2}}
        async with StoreFleet.open(**options) as fleet:
            fleet.store.open_gap()
            assert 140_000 < fleet.configure(2, routes=700) < 160_000
            fleet.store.close_gap()
            assert await fleet.wait_until_synchronized(2, limit_s=60.0) <= 20.0

    virtualtime.run(run())


def test_entries_that_wait_for_long_answers_wake_each_other():
    """Each update without news answered the polls of others, which published it in turn."""

    async def run():
        async with open_fleet(has_wide=False) as fleet:
            fleet.configure(2, routes=7_000)
            await asyncio.sleep(0.8)
            updates = 0

            def count_update(*_):
                nonlocal updates
                updates += 1

            for entry in fleet.entries.values():
                entry.sync.on_update.append(count_update)
            await asyncio.sleep(4 * HELP_S)
            assert all(entry.feed.is_answer_arriving for entry in fleet.entries.values())
            # One for each wait of a poll that nothing answers, and one that was under way.
            assert updates <= 5 * len(fleet.entries)

    virtualtime.run(run())


def find_follower(fleet, *, has_wide=True):
    """Return the first entry with a narrow link that follows a reader."""
    readers, links = fleet.list_readers(), list_links(has_wide=has_wide)
    ports = (p for p, mbps in links.items() if mbps == NARROW_MBPS and p not in readers)
    return fleet.entries[next(ports)]


def test_entry_that_was_suspended_reads_a_large_configuration_from_the_store():
    """Its pages took a narrow link 1.9 s, while its reader had all records in 0.13 MB."""

    async def run():
        async with open_fleet() as fleet:
            entry = find_follower(fleet)
            fleet.configure(2, routes=ROUTES)
            await fleet.wait_until_synchronized(2)
            entry.node.suspend(5.0)
            await asyncio.sleep(2.0)
            fleet.configure(3, routes=ROUTES)
            await asyncio.sleep(3.0)
            async with asyncio.timeout(BOUND_S / 4):
                while entry.sync.is_unconfirmed or entry.catalog.configuration_version != 3:
                    await asyncio.sleep(0.01)

    virtualtime.run(run())


def test_records_that_were_sent_before_a_suspension_confirm_the_state_after_it():
    """The entry served by them at once, though they were older by the whole suspension."""

    async def run():
        async with open_fleet() as fleet:
            entry = find_follower(fleet)
            fetch_records = entry.feed.fetch_records

            async def fetch_and_suspend(*args):
                entry.feed.fetch_records = fetch_records
                records = await fetch_records(*args)
                entry.node.suspend(5.0)
                fleet.configure(2, routes=ROUTES)
                await asyncio.sleep(5.05)
                return records

            revision = entry.sync.view.revision
            entry.feed.fetch_records = fetch_and_suspend
            entry.sync.reset()
            entry.sync.renew_watch("all records are read again")
            async with asyncio.timeout(10.0):
                while (version := entry.catalog.configuration_version) != 2:
                    is_late = fleet.store._revision > revision and not entry.node.is_suspended
                    is_used = not (entry.sync.is_unconfirmed or entry.maintenance.was_suspended())
                    assert not (is_late and is_used), version
                    await asyncio.sleep(0.001)

    virtualtime.run(run())


def test_records_that_arrive_slowly_after_a_suspension_are_dropped():
    """They were sent after it; the store's pages, ten times as large, took 18 s in their place."""

    async def run():
        async with StoreFleet.open(
            entries=(6,),
            halls=1,
            targets=TARGETS,
            settings=RelaySettings(bound_s=BOUND_S),
            links_mbps={port: WIDE_MBPS if port <= 2 else 0.5 for port in range(1, 7)},
        ) as fleet:
            fleet.configure(2, routes=ROUTES)
            await fleet.wait_until_synchronized(2, limit_s=60.0)
            await asyncio.sleep(2 * fleet.settings.direct_s)
            (port, *_) = (p for p in range(3, 7) if p not in fleet.list_readers())
            entry = fleet.entries[port]
            entry.node.suspend(5.0)
            await asyncio.sleep(5.0)
            async with asyncio.timeout(BOUND_S):
                while entry.maintenance.was_suspended() or entry.sync.is_unconfirmed:
                    await asyncio.sleep(0.01)

    virtualtime.run(run())
