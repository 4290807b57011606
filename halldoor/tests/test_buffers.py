"""Bytes that an entry buffers for all its callers together, while some read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from halldoor.core.buffers import BufferKind
from halldoor.gateway.room import NO_ROOM
from halldoor.tests.gatewaykit import NAMES, GatewayKit

LIMIT_BYTES = 8_000_000
DOWNLOAD = b"d" * 540_000
BATCH = 8
"""Downloads that a slow caller pipelines."""
DEADLINE_MS = 5_000


@contextlib.asynccontextmanager
async def open_kit(*, body=DOWNLOAD, kind="download", targets=8, limit_bytes=LIMIT_BYTES):
    """Start a gateway that may buffer a number of bytes, and targets that answer with a body."""
    async with GatewayKit.open(targets=targets, route={"kind": kind, "timeout_s": 5.0}) as kit:
        kit.gateway.buffers.limit_bytes = limit_bytes
        for i, target in enumerate(kit.targets.values()):
            kit.write_target(f"t{i}", slots=100)

            async def answer(request, writer, target=target):
                writer.write(target.build(request, body=body))
                await writer.drain()

            target.script = answer
        yield kit


def connect_from_afar(kit):
    """Connect with the segments of Ethernet and a small window, so that the kernel holds little."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.connect(("127.0.0.1", kit.front_port))
    return sock


def build_head(attempt_id, *, method=b"GET", length=None):
    """Build the head of a request."""
    lines = [
        method + b" /1 HTTP/1.1",
        b"Host: decks.example",
        NAMES.attempt_id + b": " + attempt_id,
        NAMES.deadline_ms + b": %d" % DEADLINE_MS,
    ]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def pipeline_downloads(kit, stack, callers):
    """Let callers pipeline downloads and read nothing of the answers."""
    for n in range(callers):
        sock = stack.enter_context(connect_from_afar(kit))
        sock.sendall(b"".join(build_head(b"s%d-%d" % (n, k)) for k in range(BATCH)))


async def download_quickly(kit, count):
    """Download one after the other; return the statuses and the longest time, in seconds."""
    loop, statuses, longest_s = asyncio.get_running_loop(), [], 0.0
    for n in range(count):
        began_at = loop.time()
        reply = await kit.call(key=str(n), deadline_ms=DEADLINE_MS)
        longest_s = max(longest_s, loop.time() - began_at)
        statuses.append(reply.status)
    return statuses, longest_s


class TestSlowReaders:
    @pytest.mark.parametrize("callers", [1, 3, 10, 40])
    def test_pipelining_slow_readers_exceed_the_memory(self, callers):
        """Each connection had bounds of its own, so that 72 callers filled 200 MB (review/4)."""

        async def run():
            async with open_kit() as kit:
                with contextlib.ExitStack() as stack:
                    pipeline_downloads(kit, stack, callers)
                    await asyncio.sleep(0.5)
                    statuses, _ = await download_quickly(kit, 20)
                    assert kit.gateway.buffers.peak_bytes <= LIMIT_BYTES
                    assert statuses == [200] * 20

        asyncio.run(run())

    def test_small_answers_wait_for_downloads(self):
        """Requests with small answers keep a part of the buffers that downloads don't use."""

        async def run():
            async with open_kit() as kit:
                with contextlib.ExitStack() as stack:
                    pipeline_downloads(kit, stack, 60)
                    await asyncio.sleep(0.5)
                    kit.configure(kind="repeatable")
                    await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
                    for target in kit.targets.values():
                        target.script = target.answer
                    statuses, longest_s = await download_quickly(kit, 20)
                    assert statuses == [200] * 20
                    assert longest_s < 1.0

        asyncio.run(run())

    def test_buffers_of_callers_that_left_stay_counted(self):
        """Nothing is counted once all callers have left or were answered."""

        async def run():
            async with open_kit(limit_bytes=60_000_000) as kit:
                buffers = kit.gateway.buffers
                with contextlib.ExitStack() as stack:
                    pipeline_downloads(kit, stack, 10)
                    await download_quickly(kit, 5)
                    await kit.wait(lambda: buffers.by_kind[BufferKind.PIPELINED] > 0)
                await kit.wait(lambda: buffers.held_bytes == 0)
                assert set(buffers.by_kind.values()) == {0}

        asyncio.run(run())


class TestNoRoom:
    def test_request_without_room_waits(self):
        """What finds no room is refused at once, as not run, and counted by reason."""

        async def run():
            async with open_kit(limit_bytes=100_000) as kit:
                reply = await kit.call(deadline_ms=DEADLINE_MS)
                assert reply.status == 503
                assert reply.find(b"retry-after")
                assert not kit.received
                assert NO_ROOM.encode() in reply.body
                assert f'reason="{NO_ROOM}"'.encode() in kit.gateway.metrics.render()

        asyncio.run(run())


class TestUploads:
    def test_uploads_to_slow_targets_exceed_the_memory(self):
        """Each upload was buffered up to 512 KB, and once more on its way to the target."""
        callers, body = 40, b"u" * 400_000

        async def run():
            async with open_kit(kind="upload", body=b"ok") as kit:
                for target in kit.targets.values():
                    target.read_body = False

                    async def pause(request, writer):
                        await asyncio.sleep(3.0)

                    target.script = pause
                async with asyncio.TaskGroup() as group:
                    for n in range(callers):
                        group.create_task(upload(kit, n, body))
                    await asyncio.sleep(1.0)
                    assert kit.gateway.buffers.peak_bytes <= LIMIT_BYTES

        asyncio.run(run())


async def upload(kit, number, body):
    """Upload a body; the connection may close before all of it is sent."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection("127.0.0.1", kit.front_port)
        writer.write(build_head(b"u%d" % number, method=b"POST", length=len(body)) + body)
        await asyncio.wait_for(reader.read(100), 4.0)
        writer.transport.abort()
