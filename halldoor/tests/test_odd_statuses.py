"""Answers whose status is not one of HTTP (RFC 9110, 15: 100 to 599)."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.client import PoolManager
from halldoor.core.settings import Address
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.standins.sample import IP
from halldoor.tests.gatewaykit import GatewayKit

STATUSES = [
    b"000",
    b"001",
    b"099",
    b"0",
    b"20",
    b"600",
    b"666",
    b"999",
    b"1000",
    b"-01",
    b"abc",
    b"",
]


def script_status(target, status):
    """Let a target answer with a status, signed and otherwise sound."""

    async def answer(request, writer):
        writer.write(target.build(request, status=status + b" Odd"))

    target.script = answer


class TestTargets:
    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("method", ["GET", "POST"])
    def test_status_that_is_none_reaches_the_caller(self, status, method):
        """Signed answers with the status 600 to 999 reached callers as answers (MIXED)."""

        async def run():
            kind = "repeatable" if method == "GET" else "at-most-once"
            async with GatewayKit.open(targets=1, route={"kind": kind}) as kit:
                script_status(kit.targets["t0"], status)
                reply = await kit.call(method=method, body=b"b" * (method == "POST"))
                assert reply.status == 502
                assert not reply.find(b"halldoor-signature")
                assert len(kit.received) == 1

        asyncio.run(run())

    @pytest.mark.parametrize("status", [b"000", b"600"])
    def test_status_that_is_none_costs_a_repeatable_request(self, status):
        """Another target answers instead."""

        async def run():
            async with GatewayKit.open(targets=2, route={"timeout_s": 2.0}) as kit:
                script_status(kit.targets["t0"], status)
                replies = [await kit.call(key=str(n)) for n in range(8)]
                assert [reply.status for reply in replies] == [200] * 8

        asyncio.run(run())


def serve_status(status):
    """Serve each connection one answer with a status; return the server once it listens."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    return asyncio.start_server(answer, IP, 0)


@pytest.mark.parametrize("status", STATUSES)
class TestCalls:
    def test_status_that_is_none_is_an_answer_of_the_store(self, status):
        """Calls to the store, to other entries and of health checks took such an answer."""

        async def run():
            async with await serve_status(status) as server:
                client = HttpClient(Address(IP, server.sockets[0].getsockname()[1]))
                with pytest.raises(HttpCallError):
                    await client.call("GET", "/x", timeout_s=1.0)
                client.close()

        asyncio.run(run())

    def test_status_that_is_none_is_an_answer_at_the_present_entry(self, status):
        """The client of halldoor-entry and of the commands took such an answer."""

        async def run():
            async with await serve_status(status) as server:
                url = f"http://{IP}:{server.sockets[0].getsockname()[1]}/x"
                pool = PoolManager(timeout=2.0)
                with pytest.raises(Exception, match=r"(?i)status|connection"):
                    await asyncio.to_thread(pool.fetch, "GET", url, max_bytes=100)

        asyncio.run(run())
