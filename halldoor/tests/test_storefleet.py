"""Faults of the simulated network, entries and store have the effect they are used for."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.core.targets.leaving import LeavingNotice
from halldoor.gateway.datagrams import MessageKind
from halldoor.gateway.store import HistoryGoneError, StoreError
from halldoor.standins import virtualtime
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.modelnetwork import Delays
from halldoor.standins.storefleet import IP, Address, StoreFleet

DELAYS = Delays(0.0001, 0.0014, 0.035)
NOTICES = [LeavingNotice("t00000", 0, 0.5)]


@contextlib.asynccontextmanager
async def open_fleet(**options):
    fleet = StoreFleet(
        entries=(2, 2), halls=2, regions=2, targets=4, delays=DELAYS, has_expiry=True, **options
    )
    fleet.configure(1)
    await fleet.start(within_s=0.1)
    await fleet.wait_until_synchronized(1)
    await asyncio.sleep(0.1)
    try:
        yield fleet
    finally:
        fleet.stop()


def now():
    return asyncio.get_running_loop().time()


class TestDatagrams:
    @pytest.mark.parametrize(
        ("fault", "arrives_after_s"),
        [({}, 0.035), ({"slow_s": 0.2}, 0.235), ({"loss": 1.0}, None), ({"is_isolated": 1}, None)],
    )
    def test_delay_and_loss_follow_node_faults(self, fault, arrives_after_s):
        async def check():
            async with open_fleet() as fleet:
                received = []
                fleet.entries[4].port.register_receiver(
                    MessageKind.LEAVING,
                    list[LeavingNotice],
                    lambda message, sender: received.append((now() - began, message, sender)),
                )
                for name, value in fault.items():
                    setattr(fleet.nodes[4], name, value)
                began = now()
                fleet.entries[1].port.send(MessageKind.LEAVING, NOTICES, Address(IP, 4))
                await asyncio.sleep(1.0)
                if arrives_after_s is None:
                    assert received == []
                else:
                    assert received == [(pytest.approx(arrives_after_s), NOTICES, Address(IP, 1))]

        virtualtime.run(check())


class TestSuspension:
    def test_suspended_entry_runs_no_task_until_resumed(self):
        async def check():
            async with open_fleet() as fleet:
                entry = fleet.entries[4]
                fleet.nodes[4].suspend(2.0)
                fleet.configure(2)
                await asyncio.sleep(1.9)
                assert {e.catalog.configuration_version for e in fleet.entries.values()} == {1, 2}
                assert entry.catalog.configuration_version == 1
                await asyncio.sleep(0.5)
                assert entry.catalog.configuration_version == 2
                assert entry.events.counts["process: Stood still."] == 1

        virtualtime.run(check())


class TestStoreFaults:
    def test_watch_receives_nothing_in_a_gap_and_history_is_dropped(self):
        async def check():
            store = MemoryStore()
            watch = asyncio.ensure_future(store.watch("", after=0, wait_s=9.0))
            await asyncio.sleep(0.0)
            store.open_gap()
            store.put("a", b"1")
            await asyncio.sleep(1.0)
            assert not watch.done()
            store.close_gap()
            with pytest.raises(StoreError, match="cut"):
                await watch
            with pytest.raises(HistoryGoneError):
                await store.watch("", after=0, wait_s=9.0)

        virtualtime.run(check())

    @pytest.mark.parametrize(("fault", "takes_s"), [({}, 0.074), ({"slowness": 60.0}, 0.31)])
    def test_call_takes_network_delay_and_processing_time(self, fault, takes_s):
        async def check():
            async with open_fleet(answer_s=0.004) as fleet:
                for name, value in fault.items():
                    setattr(fleet.server, name, value)
                began = now()
                await fleet.entries[4].link.read_range("")
                assert now() - began == pytest.approx(takes_s)

        virtualtime.run(check())

    def test_throttled_call_fails_with_429(self):
        async def check():
            async with open_fleet() as fleet:
                fleet.server.refused = 1.0
                with pytest.raises(StoreError, match="429"):
                    await fleet.entries[1].link.read_range("")

        virtualtime.run(check())

    def test_watch_on_lost_connection_fails_at_its_timeout(self):
        async def check():
            async with open_fleet() as fleet:
                link = fleet.entries[1].link
                revision = (await link.read_range("")).revision
                began = now()
                watch = asyncio.ensure_future(link.watch("", after=revision, wait_s=2.0))
                await asyncio.sleep(0.5)
                link.silence_watch()
                fleet.configure(2)
                with pytest.raises(StoreError, match="No answer"):
                    await watch
                assert now() - began == pytest.approx(3.0)

        virtualtime.run(check())

    def test_record_of_killed_entry_expires(self):
        async def check():
            async with open_fleet() as fleet:
                fleet.entries[1].stop()
                await asyncio.sleep(3.5)
                assert fleet.store.list_keys("entries/") == [f"entries/e{i}" for i in (2, 3, 4)]

        virtualtime.run(check())
