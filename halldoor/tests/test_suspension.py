"""Tests of an entry whose host was suspended for a while.

The gateway used the monotonic clock, which doesn't count suspensions, so cached state didn't age.
After resuming, the entry reported ready with outdated look-ups, sent requests whose callers had
given up, and used connections that peers had closed; its check for suspensions noticed nothing.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from halldoor.core.settings import Address
from halldoor.gateway import clock
from halldoor.gateway.caller import CallerConnection
from halldoor.gateway.connection import HttpConnection
from halldoor.gateway.headers import find
from halldoor.gateway.request import RequestHandler
from halldoor.standins import virtualtime
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.storefleet import StoreFleet
from halldoor.tests.gatewaykit import HEALTH_PATH, NAMES, GatewayKit

SUSPENSIONS_S = [5.0, 60.0]
MAX_WAIT_S = 600.0
"""Time that a caller waits for an answer, suspensions included, in seconds."""
SEND_DELAY_S = 0.1
"""Time from an entry's last check of a deadline until it sends the request, in seconds."""
CLOSED = 0
"""Status that stands for a connection closed before its request was read."""


class Suspension:
    """The gateway's clock with added seconds of simulated suspension."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0.0
        read = clock.read_seconds
        monkeypatch.setattr(clock, "read_seconds", lambda: read() + self.suspended_s)


@pytest.fixture
def suspension(monkeypatch):
    """Return a simulated suspension of the host, without any suspended time yet."""
    return Suspension(monkeypatch)


async def get_status(address, target):
    """Send a GET request to an address and return the status."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n".encode())
    status = int((await reader.readline()).split()[1])
    writer.transport.abort()
    return status


class TestSuspension:
    def test_loop_time_includes_suspensions(self, suspension):
        async def check():
            loop = asyncio.get_running_loop()
            before = loop.time()
            suspension.suspended_s = 60.0
            assert loop.time() - before > 59.0
            async with asyncio.timeout(1.0):
                await asyncio.sleep(0.01)

        clock.run(check())

    @pytest.mark.parametrize("slept_s", SUSPENSIONS_S)
    def test_resumed_entry_is_not_ready_until_it_has_read_the_store(self, suspension, slept_s):
        async def check():
            ready, directory = (Address(IP, port) for port in find_ports(2))
            async with GatewayKit.open(ready=ready, directory=directory) as kit:
                await kit.wait(lambda: kit.gateway.is_ready)
                assert await get_status(ready, "/ready") == 200
                assert await get_status(directory, "/entries?hall=ams-a&region=ams") == 200
                asked, kit.store.is_slow = kit.store.ranges, True
                suspension.suspended_s = slept_s
                assert await get_status(ready, "/ready") == 503
                assert await get_status(directory, "/entries?hall=ams-a&region=ams") == 503
                kit.store.is_slow = False
                await kit.wait(lambda: kit.gateway.is_ready)
                assert kit.store.ranges > asked

        clock.run(check())

    def test_resumed_entry_serves_while_the_store_is_down(self, suspension):
        async def check():
            async with GatewayKit.open() as kit:
                kit.store.take_down()
                suspension.suspended_s = 60.0
                await asyncio.sleep(0.2)
                await kit.wait(lambda: kit.gateway.is_ready, limit_s=2.0)
                assert (await kit.call()).status == 200

        clock.run(check())

    def test_request_unread_during_a_suspension_is_not_sent(self, suspension):
        """The caller may have given up during the suspension, which the entry can't detect."""

        async def check():
            async with GatewayKit.open() as kit:
                caller = await kit.connect()
                await caller.send()
                suspension.suspended_s = 5.0
                assert (await caller.receive()).status == 503
                assert kit.received == []

        clock.run(check())

    @pytest.mark.parametrize("slept_s", [2.0, *SUSPENSIONS_S])
    def test_connections_kept_before_a_suspension_are_not_reused(self, suspension, slept_s):
        async def check():
            async with GatewayKit.open(targets=1) as kit:
                await kit.call()
                await kit.call()
                assert [r.connection for r in kit.received] == [1, 1]
                suspension.suspended_s = slept_s
                while (await kit.call()).status != 200:
                    await asyncio.sleep(0.02)
                assert kit.received[-1].connection == 2

        clock.run(check())

    @pytest.mark.parametrize("worked_s", [0.0, 3.0])
    def test_own_work_counts_as_a_suspension(self, suspension, monkeypatch, worked_s):
        """A delay that the process made itself closed its connections and cost callers 503."""

        async def check():
            async with GatewayKit.open(targets=1) as kit:
                await kit.call()
                events, read = Counter(), time.thread_time
                event = kit.gateway.log.event

                def record(part, text, **fields):
                    events[text] += 1
                    event(part, text, **fields)

                monkeypatch.setattr(kit.gateway.log, "event", record)
                monkeypatch.setattr(time, "thread_time", lambda: read() + worked_s)
                suspension.suspended_s = 3.0
                statuses = [(await kit.call(deadline_ms=8000)).status for _ in range(3)]
                await asyncio.sleep(0.3)  # The next tick has come.
                was_suspended = not worked_s
                assert (503 in statuses) is was_suspended
                assert events["Stood still."] == was_suspended
                while (await kit.call()).status != 200:
                    await asyncio.sleep(0.02)
                assert kit.received[-1].connection == 1 + was_suspended

        clock.run(check())

    def test_request_is_not_sent_after_its_deadline(self, suspension):
        async def check():
            async with GatewayKit.open(targets=1) as kit:
                opened = kit.gateway.pool.open

                async def open_and_sleep(*args, **options):
                    connection = await opened(*args, **options)
                    suspension.suspended_s = 5.0
                    return connection

                kit.gateway.pool.open = open_and_sleep
                reply = await kit.call(deadline_ms=800)
                assert (reply.status, kit.received) == (503, [])

        clock.run(check())

    def test_request_is_sent_late_after_its_bytes_waited_for_their_task(
        self, suspension, monkeypatch
    ):
        """Its deadline counted from the parsing of its head, which a busy process delayed."""
        receive_data = CallerConnection.data_received

        def receive_and_delay(caller, data):
            receive_data(caller, data)
            suspension.suspended_s += 0.9

        async def check():
            async with GatewayKit.open(targets=1) as kit:
                caller = await kit.connect()
                monkeypatch.setattr(CallerConnection, "data_received", receive_and_delay)
                await caller.send(deadline_ms=800)
                assert (await caller.receive()).status == 503
                assert kit.received == []

        clock.run(check())

    def test_request_that_may_have_run_is_not_retried_after_a_suspension(self, suspension):
        async def check():
            async with GatewayKit.open(route={"kind": "at-most-once"}) as kit:
                kit.script_all("hang")
                caller = await kit.connect()
                await caller.send(method="POST", body=b"x")
                await kit.wait(lambda: kit.received)
                suspension.suspended_s = 60.0
                assert (await caller.receive()).status == 504
                await asyncio.sleep(0.1)
                assert len(kit.received) == 1

        clock.run(check())


class TestClock:
    def test_clock_without_boottime_is_monotonic(self, monkeypatch):
        monkeypatch.setattr(clock, "_BOOT_TIME", None)
        assert not clock.counts_suspensions()
        assert clock.read_seconds() > 0


class TestRandomSuspensions:
    """Requests are running while the host is suspended at random moments."""

    @pytest.mark.parametrize("seed", range(8))
    def test_guarantees_hold_under_random_suspensions(self, suspension, monkeypatch, seed):
        source = random.Random(seed)
        kind = source.choice(["repeatable", "at-most-once"])
        runs = Counter()
        late = []
        expires_at, suspended_s_at_start, read_at = {}, {}, {}
        handle, receive_data = RequestHandler.handle, CallerConnection.data_received

        def record_and_receive(caller, data):
            read_at.setdefault(caller, asyncio.get_running_loop().time())
            receive_data(caller, data)

        async def record_and_handle(handler, caller, head):
            attempt_id = find(head.headers, NAMES.attempt_id).decode()
            # The entry can't tell for how long a request was unread before.
            expires_at[attempt_id] = read_at[caller] + 0.8
            await handle(handler, caller, head)

        monkeypatch.setattr(CallerConnection, "data_received", record_and_receive)
        monkeypatch.setattr(RequestHandler, "handle", record_and_handle)

        async def check():
            async with GatewayKit.open(targets=3, route={"kind": kind}) as kit:
                loop = asyncio.get_running_loop()
                send = HttpConnection.send

                async def record_and_send(connection, *events):
                    is_request = isinstance(events[0], h11.Request)
                    if is_request and events[0].target != HEALTH_PATH:
                        attempt_id = find(events[0].headers.raw_items(), NAMES.attempt_id).decode()
                        runs[attempt_id] += 1
                        if loop.time() > expires_at[attempt_id] + SEND_DELAY_S:
                            late.append(attempt_id)
                    await send(connection, *events)

                monkeypatch.setattr(HttpConnection, "send", record_and_send)

                async def ask(number):
                    await asyncio.sleep(source.uniform(0.0, 0.5))
                    attempt_id = f"s{seed}-{number}"
                    suspended_s_at_start[attempt_id] = suspension.suspended_s
                    caller = await kit.connect()
                    try:
                        await caller.send(
                            attempt_id=attempt_id, key=str(number), method="POST", body=b"x"
                        )
                        reply = await caller.receive(limit_s=MAX_WAIT_S)
                    except ConnectionError:
                        # A connection that was idle in a suspension may close unread.
                        assert suspended_s_at_start[attempt_id] != suspension.suspended_s
                        return attempt_id, CLOSED
                    finally:
                        caller.close()
                    if reply.status == 408:
                        assert suspended_s_at_start[attempt_id] != suspension.suspended_s
                        return attempt_id, CLOSED
                    return attempt_id, reply.status

                async def suspend():
                    for _ in range(3):
                        await asyncio.sleep(source.uniform(0.02, 0.2))
                        suspension.suspended_s += source.choice([0.5, 5.0, 60.0])

                *answers, _ = await asyncio.gather(*(ask(i) for i in range(40)), suspend())
                assert len(answers) == 40
                for attempt_id, status in answers:
                    assert status in (200, 503, 504, CLOSED), (attempt_id, status)
                    assert status != CLOSED or not runs[attempt_id]
                    if kind == "at-most-once":
                        assert runs[attempt_id] <= 1
                        assert status != 503 or not runs[attempt_id]
                assert late == []

        clock.run(check())


def uses_cached_state(entry):
    """Check whether an entry reports ready and answers look-ups from its cached state."""
    is_confirming = entry.sync.is_unconfirmed or entry.maintenance.was_suspended()
    return entry.catalog.routing is not None and not is_confirming


@settings(max_examples=15)
@given(
    suspensions=st.lists(
        st.tuples(st.floats(0.0, 3.0), st.floats(1.5, 60.0), st.booleans()), min_size=1, max_size=3
    ),
    is_down=st.booleans(),
)
@example(suspensions=[(0.0, 2.0, False), (0.0, 30.0, False)], is_down=False)
def test_resumed_entry_does_not_use_outdated_state(suspensions, is_down):
    """Entries of two halls, one of which reads the store for others, are suspended at random.

    Runs in virtual time.
    """

    async def check():
        fleet = StoreFleet(entries=10, halls=2, targets=20)
        fleet.configure(version := 1)
        await fleet.start(within_s=0.5)
        await fleet.wait_until_synchronized(version)
        for after_s, for_s, is_restored in suspensions:
            copy = fleet.store.copy()
            await asyncio.sleep(after_s)
            asyncio.get_running_loop().suspend(for_s)
            if is_restored:
                fleet.store.restore(copy)
            fleet.configure(version := version + 1)
            for _ in range(40):
                await asyncio.sleep(0.005)
                relying = [e for e in fleet.entries.values() if uses_cached_state(e)]
                assert all(e.catalog.configuration_version == version for e in relying)
            if is_down:
                fleet.store.take_down()
                await asyncio.sleep(0.5)
                fleet.store.is_down = False
        await fleet.wait_until_synchronized(version, limit_s=5.0)
        fleet.stop()

    virtualtime.run(check())
