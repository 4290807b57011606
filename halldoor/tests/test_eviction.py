"""Connections that are evicted while they wait for their clients."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from halldoor.core.eviction import (
    LEAST_LAG_S,
    PROGRESS_BYTES_PER_S,
    ProgressClock,
    choose_evicted,
)
from halldoor.tests.uploadkit import AMPLE_BYTES, begin_uploads, open_kit, read_statuses

LIMIT_BYTES = 2_000_000
PAUSE_S = LEAST_LAG_S + 0.2


class Connection(NamedTuple):
    """A connection with a progress, which waits for its client or not."""

    progress: ProgressClock
    is_evictable: bool = True


class TestProgressClock:
    def test_silence_is_lag(self):
        clock = ProgressClock(0.0)
        clock.add(10**9, 1.0)
        assert clock.find_lag(1.0) == 0.0
        assert clock.find_lag(4.0) == 3.0

    @pytest.mark.parametrize("share", [0.1, 0.5, 1.0, 3.0])
    def test_trickle_falls_behind(self, share):
        clock = ProgressClock(0.0)
        for second in range(1, 11):
            clock.add(int(share * PROGRESS_BYTES_PER_S), float(second))
        assert clock.find_lag(10.0) == pytest.approx(10 * max(0.0, 1 - share), abs=0.01)


class TestChoice:
    def test_longest_without_progress_first(self):
        connections = [Connection(ProgressClock(float(at))) for at in (3, 1, 2)]
        chosen = choose_evicted(connections, 2, 10.0)
        assert chosen == [connections[1], connections[2]]

    def test_recent_and_busy_ones_stay(self):
        recent = Connection(ProgressClock(9.5))
        busy = Connection(ProgressClock(0.0), is_evictable=False)
        assert choose_evicted([recent, busy], 2, 10.0) == []


class TestMemory:
    def test_stalled_body_gives_way(self):
        """Bodies that stood still kept their room, and the next request was refused."""

        async def run():
            async with open_kit(limit_bytes=LIMIT_BYTES) as kit:
                opened = await begin_uploads(kit, 60)
                await asyncio.sleep(PAUSE_S)
                assert (await kit.call(method="POST", body=b"x", deadline_ms=4000)).status == 200
                statuses = await read_statuses(opened)
                assert 408 in statuses
                assert kit.gateway.buffers.held_bytes <= LIMIT_BYTES
                assert b'halldoor_evictions{scarce="memory"}' in kit.gateway.metrics.render()

        asyncio.run(run())

    def test_request_at_work_is_evicted(self):
        """A request that has arrived is answered, however long its target takes."""

        async def run():
            async with open_kit(limit_bytes=LIMIT_BYTES) as kit:
                target = kit.targets["t0"]

                async def work(request, writer):
                    await asyncio.sleep(2 * PAUSE_S)
                    await target.answer(request, writer)

                target.script = work
                at_work = asyncio.ensure_future(
                    kit.call(method="POST", body=b"x", deadline_ms=9000)
                )
                await kit.wait(lambda: kit.received)
                await begin_uploads(kit, 60)
                await asyncio.sleep(PAUSE_S)
                await kit.call(method="POST", body=b"y", deadline_ms=100)
                assert (await at_work).status == 200

        asyncio.run(run())

    def test_stalled_body_in_calm_is_evicted(self):
        """While there is room, a client may stand still until its deadline."""

        async def run():
            async with open_kit(limit_bytes=LIMIT_BYTES) as kit:
                opened = await begin_uploads(kit, 5)
                await asyncio.sleep(2 * PAUSE_S)
                assert (await kit.call(method="POST", body=b"x", deadline_ms=4000)).status == 200
                for _, writer in opened:
                    writer.write(b"0\r\n\r\n")
                await kit.wait(lambda: all(reader._buffer for reader, _ in opened))
                assert await read_statuses(opened) == [200] * 5

        asyncio.run(run())


class TestSlots:
    def test_stalled_body_keeps_its_slot(self):
        """A body that stands still gives way to another one that would be refused."""

        async def run():
            async with open_kit(limit_bytes=AMPLE_BYTES) as kit:
                await begin_uploads(kit, 2, chunks=40)
                await asyncio.sleep(PAUSE_S)
                ((reader, writer),) = await begin_uploads(kit, 1, chunks=40)
                writer.write(b"0\r\n\r\n")
                await kit.wait(lambda: reader._buffer)
                assert await read_statuses([(reader, writer)]) == [200]

        asyncio.run(run())
