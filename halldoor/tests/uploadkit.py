"""Test kit: clients whose uploads in chunks don't end."""

from __future__ import annotations

import asyncio
import contextlib

from halldoor.tests.gatewaykit import NAMES, GatewayKit

CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
AMPLE_BYTES = 100_000_000
"""Limit of buffers that no test reaches."""


@contextlib.asynccontextmanager
async def open_kit(*, limit_bytes):
    """Start a gateway that may buffer a number of bytes, and a target with four slots."""
    route = {"kind": "upload", "timeout_s": 20.0}
    async with GatewayKit.open(targets=0, route=route) as kit:
        await kit.add_target("t0", slots=4)
        await kit.wait(kit.gateway.catalog.list_targets)
        kit.gateway.buffers.limit_bytes = limit_bytes
        yield kit


async def begin_uploads(kit, count, *, chunks=1):
    """Begin uploads in chunks that don't end; return the readers and writers."""
    opened = []
    for n in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", kit.front_port)
        lines = [
            b"POST /1 HTTP/1.1",
            b"Host: decks.example",
            NAMES.attempt_id + b": s%d" % n,
            NAMES.deadline_ms + b": 20000",
            b"Transfer-Encoding: chunked",
        ]
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + chunks * CHUNK)
        opened.append((reader, writer))
    return opened


async def read_statuses(opened):
    """Return the statuses of all answers that have arrived."""
    await asyncio.sleep(0.1)
    return [int(bytes(reader._buffer[9:12])) for reader, _ in opened if reader._buffer]
