"""Callers that send requests and read none of the answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from halldoor.tests.gatewaykit import NAMES, GatewayKit

IDLE_S = 0.5
REQUESTS = 40
BODY = b"a" * 250_000


def open_caller(port):
    """Connect, send requests and read nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", port))
    head = b"GET /1 HTTP/1.1\r\nHost: decks.example\r\n%s: a1\r\n\r\n" % NAMES.attempt_id
    sock.sendall(head * REQUESTS)
    return sock


@pytest.mark.parametrize("kind", ["repeatable", "at-most-once"])
def test_caller_that_reads_nothing_keeps_its_connection(kind):
    """The connection, its descriptor and its answers were kept for as long as the caller liked."""

    async def run():
        async with GatewayKit.open(route={"kind": kind}) as kit:
            kit.configure(limits={"idle_timeout_s": IDLE_S}, kind=kind)
            for target in kit.targets.values():

                async def answer_long(request, writer, target=target):
                    writer.write(target.build(request, body=BODY))

                target.script = answer_long
            limits = kit.gateway.requests.read_limits
            await kit.wait(lambda: limits().idle_timeout_s == IDLE_S)
            with contextlib.ExitStack() as stack:
                for _ in range(5):
                    stack.enter_context(open_caller(kit.front_port))
                await kit.wait(lambda: len(kit.gateway._callers) == 5)
                await kit.wait(lambda: not kit.gateway._callers, limit_s=6.0)

    asyncio.run(run())
