"""Reads of all records of the store, tested in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import pytest

from halldoor.core.settings import Address
from halldoor.core.targets.relay import RETRY_S
from halldoor.gateway.backoff import BACKOFF_LIMIT_S, Backoff
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.plain import TargetModel
from halldoor.gateway.reading import RecordReader
from halldoor.gateway.store import HistoryGoneError, Page, StoreError
from halldoor.standins import virtualtime
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.storefleet import StoreFleet

BOUND_S = 3.0
"""Time from a record's writing to its effect at every entry, in seconds."""
READ_S = 3.0
"""Time after which a client of the store abandons the call for a page, in seconds."""
TRAVEL_S = 0.035
"""Time of a message between two regions, in seconds."""
TARGETS = 130
PAGES = 3


def open_fleet(*, entries=1, halls=1, targets=TARGETS, page_items=50):
    return StoreFleet.open(entries=entries, halls=halls, targets=targets, page_items=page_items)


def drain(fleet, number, hall="h0"):
    model = TargetModel(
        service="deck", address=Address("10.0.0.1", 9), hall=hall, slots=6, is_draining=True
    )
    fleet.store.put(f"targets/t{number:05}", msgspec.json.encode(model))


def is_draining(entry, number):
    return entry.catalog.find_target(f"t{number:05}").is_draining


def delay_calls(entry):
    """Delay an entry's calls as if the store were in another region."""
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


def refuse_pages(entry, should_fail):
    """Make the store refuse page reads; `should_fail` decides by the key before the page."""
    read_range = entry.link.read_range

    async def read(prefix, *, after=""):
        page = await read_range(prefix, after=after)
        if should_fail(after):
            raise StoreError("The store answered 429.", remedy="Call later.")
        return page

    entry.link.read_range = read


async def lose_history(fleet):
    """Cut all watches, and drop the history that they would resume from."""
    fleet.store.take_down()
    fleet.store.forget_history()
    await asyncio.sleep(0.001)
    fleet.store.is_down = False


def fail_first(kinds):
    """Return a check that fails one call for each listed kind of page: first or rest."""
    left = list(kinds)

    def should_fail(after):
        kind = "rest" if after else "first"
        if kind in left:
            left.remove(kind)
            return True
        return False

    return should_fail


class TestLostHistory:
    @pytest.mark.parametrize("failures", [["rest"], ["first", "rest"], ["rest", "rest"]])
    def test_pages_before_failed_page_are_not_read_again(self, failures):
        """After each refused page, all pages before it were read again."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                refuse_pages(entry, fail_first(failures))
                began = asyncio.get_running_loop().time()
                drain(fleet, TARGETS - 1)
                await lose_history(fleet)
                await asyncio.sleep(BOUND_S)
                assert is_draining(entry, TARGETS - 1)
                ranges = fleet.count_calls(began, began + BOUND_S)["range"]
                assert ranges == PAGES + len(failures)

        virtualtime.run(check())

    def test_draining_target_is_applied_before_last_page(self):
        """Requests went on to a target on a page that was read, while the next was refused."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                refuse_pages(entry, bool)
                drain(fleet, 0)
                fleet.store.remove("targets/t00001")
                await lose_history(fleet)
                await asyncio.sleep(BOUND_S)
                assert is_draining(entry, 0)
                # A removal is known only once all pages are read.
                assert entry.catalog.find_target("t00001") is not None

        virtualtime.run(check())

    def test_unanswered_page_is_requested_again(self):
        """The unanswered call failed only after 3 s, which is the whole bound."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                read_range = entry.link.read_range
                is_lost = fail_first(["rest"])

                async def read(prefix, *, after=""):
                    if is_lost(after):
                        await asyncio.sleep(READ_S)
                        raise StoreError("No answer.", remedy="Call again.")
                    return await read_range(prefix, after=after)

                entry.link.read_range = read
                drain(fleet, TARGETS - 1)
                await lose_history(fleet)
                budget = fleet.settings.budget
                await asyncio.sleep(fleet.settings.bound_s - budget.own_pause_s - budget.request_s)
                assert is_draining(entry, TARGETS - 1)

        virtualtime.run(check())

    def test_all_pages_arrive_over_slow_link(self):
        """Each page takes longer than the time limits that the bound allows."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                read_range = entry.link.read_range
                calls = []

                async def read(prefix, *, after=""):
                    calls.append(after)
                    await asyncio.sleep(READ_S - 0.5)
                    return await read_range(prefix, after=after)

                entry.link.read_range = read
                drain(fleet, TARGETS - 1)
                await lose_history(fleet)
                await asyncio.sleep(PAGES * READ_S + READ_S)
                assert is_draining(entry, TARGETS - 1)
                # Three calls time out, after 0.5, 1 and 2 s.
                assert len(calls) <= PAGES + 3

        virtualtime.run(check())

    def test_pages_read_before_suspension_are_dropped(self):
        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                refuse_pages(entry, fail_first(["rest"] * 3))
                fleet.configure(2)
                await lose_history(fleet)
                await asyncio.sleep(0.2)
                entry.sync.invalidate("the process stood still")
                began = asyncio.get_running_loop().time()
                await asyncio.sleep(BOUND_S)
                assert not entry.sync.is_unconfirmed
                assert entry.catalog.store_contact_at >= began

        virtualtime.run(check())

    def test_cut_watch_is_retried_immediately(self):
        """A pause of 0.25 s after the cut came on top of the time for the read."""

        async def check():
            async with open_fleet() as fleet:
                (entry,) = fleet.entries.values()
                delay_calls(entry)
                drain(fleet, 0)
                await lose_history(fleet)
                await asyncio.sleep(RETRY_S + 2 * TRAVEL_S * (2 + PAGES) + RETRY_S)
                assert is_draining(entry, 0)

        virtualtime.run(check())


def test_followers_get_difference_after_reader_loses_history():
    """They left the reader for 3 s, called the store, and each fetched half a megabyte."""

    async def check():
        async with open_fleet(entries=16, halls=2) as fleet:
            readers = [entry for entry in fleet.entries.values() if entry.feed.watches_store]
            handed, began = fleet.answer_bytes, asyncio.get_running_loop().time()
            drain(fleet, 0)
            fleet.store.remove("targets/t00001")
            await lose_history(fleet)
            await asyncio.sleep(BOUND_S)
            for entry in fleet.entries.values():
                assert is_draining(entry, 0)
                assert entry.feed.watches_store == (entry in readers)
            # The size of one of the 3 pages that each follower would have fetched.
            assert fleet.answer_bytes - handed < 50 * 100 * (16 - len(readers))
            calls = fleet.count_calls(began, began + BOUND_S)
            assert calls["range"] == PAGES * len(readers)
            await asyncio.sleep(2 * BOUND_S)
            assert {len(entry.catalog.list_targets()) for entry in fleet.entries.values()} == {
                TARGETS - 1
            }

    virtualtime.run(check())


def test_records_older_than_own_are_not_applied():
    """A removed target was used again for as long as the reader was behind."""

    async def check():
        async with open_fleet(entries=16) as fleet:
            (reader,) = [entry for entry in fleet.entries.values() if entry.feed.watches_store]
            reader.link.watch = hang
            follower = next(entry for entry in fleet.entries.values() if entry is not reader)
            follower.feed.leave_reader("left by the test")
            # Until the current poll returns; the reader's state is still new enough.
            await asyncio.sleep(1.0)
            fleet.store.remove("targets/t00001")
            await asyncio.sleep(0.05)
            assert follower.catalog.find_target("t00001") is None
            fleet.configure(2)
            await lose_history(fleet)
            for _ in range(100):
                await asyncio.sleep(0.005)
                assert follower.catalog.find_target("t00001") is None
            assert follower.catalog.configuration_version == 2

    virtualtime.run(check())


@pytest.mark.parametrize("refusals", [0, 1])
@pytest.mark.parametrize(("halls", "is_silent"), [(1, False), (1, True), (4, False)])
def test_combined_faults_stay_within_bound(halls, is_silent, refusals):
    """A silent reader, a lost history and a refused page took 2.3 s, more than the bound of 2."""

    async def check():
        async with open_fleet(entries=16, halls=halls, targets=60) as fleet:
            entries = list(fleet.entries.values())
            bound_s = fleet.settings.bound_s
            for entry in entries:
                delay_calls(entry)
                refuse_pages(entry, fail_first(["rest"] * refusals))
                entry.feed.batch_s = fleet.settings.own_pause_s
            if is_silent:
                (reader,) = [entry for entry in entries if entry.feed.watches_store]
                reader.feed.answer = hang
                entries.remove(reader)
            fleet.configure(2)
            await asyncio.sleep(2 * TRAVEL_S)
            drain(fleet, 0)
            await lose_history(fleet)
            await asyncio.sleep(bound_s - fleet.settings.budget.request_s)
            assert all(is_draining(entry, 0) for entry in entries)

    virtualtime.run(check())


async def hang(*args, **options):
    await asyncio.sleep(60.0)


def test_only_first_retry_is_immediate():
    source = Random(1)
    backoff = Backoff(source)
    first_s = backoff.find_pause_s()
    assert first_s <= RETRY_S
    assert first_s + backoff.find_pause_s() == pytest.approx(0.25)
    assert [backoff.find_pause_s() for _ in range(3)] == [0.5, 1.0, 1.0]
    for _ in range(5000):
        assert backoff.find_pause_s() == BACKOFF_LIMIT_S
    backoff.reset()
    assert backoff.find_pause_s() <= RETRY_S


def test_repeated_page_is_read_without_end():
    """A store that repeated a page was read 550 times a second, and all pages were kept."""

    class RepeatingStore(MemoryStore):
        async def read_range(self, prefix: str, *, after: str = "") -> Page:
            assert self.ranges < 10
            return await super().read_range(prefix)

    async def run() -> None:
        store = RepeatingStore(page_items=2)
        for i in range(3):
            store.put(f"targets/{i}", b"")
        metrics = GatewayMetrics()
        reader = RecordReader(store, metrics=metrics, on_page=lambda page, era: None)
        await reader.read_first()
        with pytest.raises(StoreError, match="repeats"):
            await reader.read_remaining()
        assert not reader.has_pages

    virtualtime.run(run())


def test_first_page_that_is_dropped_before_the_others_are_read_fails_the_task():
    """An entry that started was suspended while it asked a reader for the records: IndexError."""

    async def run() -> None:
        store = MemoryStore(page_items=2)
        for i in range(3):
            store.put(f"targets/{i}", b"")
        reader = RecordReader(store, metrics=GatewayMetrics(), on_page=lambda page, era: None)
        await reader.read_first()
        reader.clear()
        with pytest.raises(HistoryGoneError):
            await reader.read_remaining()

    virtualtime.run(run())
