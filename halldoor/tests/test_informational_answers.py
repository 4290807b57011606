"""Informational answers before those of the store, of health checks and of other entries."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.core.settings import Address
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.standins.sample import IP
from halldoor.tests.gatewaykit import HEALTH_PATH, GatewayKit

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@contextlib.asynccontextmanager
async def open_server(data):
    """Serve each connection the same bytes; yield a client."""

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)
        writer.close()
        closed.set()

    closed = asyncio.Event()
    server = await asyncio.start_server(answer, IP, 0)
    client = HttpClient(Address(IP, server.sockets[0].getsockname()[1]))
    try:
        yield client
    finally:
        client.close()
        server.close()
        async with asyncio.timeout(1.0):
            await closed.wait()


@pytest.mark.parametrize("status", [b"100 Continue", b"103 Early Hints", b"199 Odd"])
def test_informational_answer_fails_calls(status):
    """An informational answer raised an exception that no caller of the client expects."""

    async def run():
        async with open_server(b"HTTP/1.1 %s\r\n\r\n" % status * 2 + WHOLE) as client:
            for _ in range(3):
                answer = await client.call("GET", "/x", timeout_s=1.0)
                assert answer[:2] == (200, b"ok")

    asyncio.run(run())


@pytest.mark.parametrize("count", [1, 1_000])
def test_informational_answers_alone_are_no_answer(count):
    """Many of them raised an exception that no caller of the client expects."""

    async def run():
        async with open_server(HINTS * count) as client:
            with pytest.raises(HttpCallError):
                await client.call("GET", "/x", timeout_s=0.3)

    asyncio.run(run())


@pytest.mark.parametrize("path", ["/a b", "/\xe4", ""])
def test_path_that_can_not_be_sent_fails_other_than_the_call(path):
    """What HTTP can't express is an error of the call."""

    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, IP, 0)
        client = HttpClient(Address(IP, server.sockets[0].getsockname()[1]))
        async with server:
            with pytest.raises(HttpCallError):
                await client.call("GET", path, timeout_s=0.3)

    asyncio.run(run())


def test_informational_health_answer_ends_the_probes_of_all_targets():
    """One such answer failed the round of probes of all targets, time and again."""

    async def run():
        async with GatewayKit.open(targets=3) as kit:
            probed = asyncio.Event()

            async def break_requests(request, writer):
                if request.target == HEALTH_PATH:
                    probed.set()
                    writer.write(HINTS + WHOLE)
                else:
                    writer.transport.abort()

            for target in kit.targets.values():
                target.script = break_requests
            await kit.call()
            async with asyncio.timeout(5.0):
                await probed.wait()
            await kit.wait(lambda: not kit.gateway.reach.monitor.is_suspected)

    asyncio.run(run())
