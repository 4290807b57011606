"""Answers without an end to calls to the store and to other entries."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.decoding import MAX_BYTES
from halldoor.core.settings import Address
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.standins.sample import IP

BLOCK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def test_endless_answer_of_the_store_fills_the_memory():
    """The answer to a watch was kept in memory until the call's time-out, 400 MB in 12 s."""
    sent = 0

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while sent < 2 * MAX_BYTES and not writer.is_closing():
            writer.write(BLOCK)
            sent += len(BLOCK)
            await writer.drain()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(answer, IP, 0)
        client = HttpClient(Address(IP, server.sockets[0].getsockname()[1]))
        with pytest.raises(HttpCallError, match="more than"):
            await client.call("GET", "/kv-watch", timeout_s=30.0)
        client.close()
        server.close()
        await asyncio.sleep(0.05)  # The handlers end.

    asyncio.run(run())
