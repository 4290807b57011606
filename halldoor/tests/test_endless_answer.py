"""Answers without an end to calls to the store and to other entries."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.decoding import MAX_BYTES
from halldoor.core.settings import Address
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.standins.sample import IP
from halldoor.tests.gatewaykit import HEALTH_PATH, GatewayKit

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


@pytest.mark.parametrize("targets", [1, 3, 10])
def test_endless_health_answers_fill_the_memory(targets, monkeypatch):
    """Each of up to 32 checks kept up to 64 MB, 161 MB in 8 s with three targets."""
    received = []
    call_server = HttpClient.call

    async def call(client, method, target, **options):
        client.on_loss = received.append
        return await call_server(client, method, target, **options)

    monkeypatch.setattr(HttpClient, "call", call)

    def count_checks() -> int:
        return sum(loss.path == HEALTH_PATH.decode() for loss in received)

    async def run() -> None:
        async with GatewayKit.open(targets=1) as kit:

            async def answer(request, writer):
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(BLOCK)
                    await writer.drain()

            for n in range(targets):
                target = await kit.add_target(f"x{n}")
                target.script = answer
            catalog, unproven = kit.gateway.catalog, kit.gateway.chooser.unproven
            await kit.wait(lambda: len(catalog.list_targets()) == targets + 1)
            for target in catalog.list_targets():
                # A target that failed before its first answer is checked.
                unproven.add_failure(target, asyncio.get_running_loop().time())
            await kit.wait(lambda: count_checks() >= targets)
            assert max(loss.received_bytes for loss in received) < 1_000_000

    asyncio.run(run())
