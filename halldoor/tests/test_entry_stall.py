"""Tests of a gateway whose process doesn't run for a moment while targets serve its requests.

The gateway counted the time in which it did not run itself as the target's: the only target of a
service was ejected as slow after 0.15 s, or as failing if a deadline or the time to connect passed
meanwhile, and callers were rejected with 503 although it had room.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from halldoor.gateway.pool import CONNECT_TIMEOUT_S
from halldoor.gateway.stalls import StallMeter
from halldoor.standins import virtualtime
from halldoor.tests.gatewaykit import GatewayKit

WORK_S = 0.03
"""Time that a target needs for a request, in seconds."""


async def work(target, request, writer, *, work_s=WORK_S):
    """Answer a request after some time."""
    await asyncio.sleep(work_s)
    writer.write(target.build(request))


def make_slow(target, work_s):
    """Make a target need some time for each request."""
    target.script = lambda request, writer: work(target, request, writer, work_s=work_s)


async def send_requests(kit, *, count, per_s, deadline_ms):
    """Send requests with different keys at a fixed rate; return the statuses of the answers."""
    calls = []
    for number in range(count):
        calls.append(asyncio.ensure_future(kit.call(key=str(number), deadline_ms=deadline_ms)))
        await asyncio.sleep(1 / per_s)
    return [reply.status for reply in await asyncio.gather(*calls)]


def stall_after(steps, stall_s):
    """Stall the event loop after some of its iterations."""
    if steps:
        asyncio.get_running_loop().call_soon(stall_after, steps - 1, stall_s)
    else:
        time.sleep(stall_s)


def list_ejected(kit):
    """Return the targets that get no requests because they were ejected."""
    now = asyncio.get_running_loop().time()
    return [e.target for e in kit.gateway.chooser.list_excluded(now) if e.reason == "ejected"]


class TestEjectionAfterStall:
    @pytest.mark.parametrize("stall_s", [0.15, 0.2, 0.4, 0.8])
    def test_targets_are_ejected_as_slow_after_a_stall_of_the_entry(self, stall_s):
        async def check():
            async with GatewayKit.open(targets=1) as kit:
                make_slow(kit.targets["t0"], WORK_S)
                stall = asyncio.get_running_loop().call_later(0.3, time.sleep, stall_s)
                statuses = await send_requests(kit, count=40, per_s=60.0, deadline_ms=1000)
                assert stall.when() < asyncio.get_running_loop().time()
                assert set(statuses) == {200}
                assert list_ejected(kit) == []

        asyncio.run(check())

    def test_targets_are_ejected_as_failing_if_deadlines_pass_in_a_stall_of_the_entry(self):
        """The answers lie unread; the callers' deadlines have passed once they are read."""

        async def check():
            async with GatewayKit.open(targets=1) as kit:
                make_slow(kit.targets["t0"], WORK_S)
                asyncio.get_running_loop().call_later(0.3, time.sleep, 0.5)
                await send_requests(kit, count=80, per_s=250.0, deadline_ms=100)
                assert list_ejected(kit) == []
                assert set(await send_requests(kit, count=5, per_s=60.0, deadline_ms=1000)) == {200}

        asyncio.run(check())

    def test_targets_are_ejected_as_unreachable_if_connecting_times_out_in_a_stall(self):
        """The stall begins some steps of the event loop after the request was sent."""

        async def check():
            async with GatewayKit.open(targets=1) as kit:
                for steps in range(1, 13):
                    kit.gateway.pool.close()
                    call = asyncio.ensure_future(kit.call(deadline_ms=1000))
                    stall_after(steps, 1.2 * CONNECT_TIMEOUT_S)
                    await call
                    assert list_ejected(kit) == []

        asyncio.run(check())

    def test_slow_target_is_ejected_although_the_entry_stalls_repeatedly(self):
        async def check():
            async with GatewayKit.open(targets=3) as kit:
                for name, work_s in (("t0", 0.25), ("t1", WORK_S), ("t2", WORK_S)):
                    make_slow(kit.targets[name], work_s)
                loop = asyncio.get_running_loop()
                for number in range(40):
                    loop.call_later(number / 10, time.sleep, 0.03)
                await send_requests(kit, count=120, per_s=60.0, deadline_ms=1000)
                assert list_ejected(kit) == ["t0"]

        asyncio.run(check())


class TestStallMeter:
    @pytest.mark.parametrize("stall_s", [0.1, 0.5])
    def test_stall_is_measured_before_the_next_tick(self, stall_s):
        async def check():
            meter = StallMeter()
            loop = asyncio.get_running_loop()
            running = asyncio.ensure_future(meter.run())
            await asyncio.sleep(0.2)
            before_s = meter.measure(loop.time())
            time.sleep(stall_s)
            at_once_s = meter.measure(loop.time()) - before_s
            await asyncio.sleep(0.2)
            later_s = meter.measure(loop.time()) - before_s
            running.cancel()
            assert 0.7 * stall_s < at_once_s <= stall_s + 0.05
            assert later_s >= at_once_s

        asyncio.run(check())

    def test_a_loop_that_runs_has_no_stalls(self):
        async def check():
            meter = StallMeter()
            loop = asyncio.get_running_loop()
            running = asyncio.ensure_future(meter.run())
            await asyncio.sleep(10.0)
            assert meter.measure(loop.time()) == pytest.approx(0.0)
            running.cancel()

        virtualtime.run(check())
