"""Targets that read nothing of a long body for a while, and go on."""

from __future__ import annotations

import asyncio
import socket

import pytest

from halldoor.gateway.pool import USER_TIMEOUT_S
from halldoor.standins.scripted import ScriptedTarget
from halldoor.tests.gatewaykit import NAMES, GatewayKit

BODY = b"u" * 3_000_000
PAUSE_S = USER_TIMEOUT_S + 1.0


class PausingTarget(ScriptedTarget):
    """A target that reads nothing of a connection for `PAUSE_S`; its kernel holds little."""

    async def _serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        writer.transport.pause_reading()
        await asyncio.sleep(PAUSE_S)
        writer.transport.resume_reading()
        await super()._serve(reader, writer)


@pytest.mark.parametrize("kind", ["upload", "at-most-once"])
def test_body_is_broken_off_while_its_target_pauses(kind):
    """The kernel took an empty window for a dead host, and callers got 502 (review/5)."""

    async def run():
        async with GatewayKit.open(targets=0, route={"kind": kind, "timeout_s": 8.0}) as kit:
            kit.targets["t0"] = target = PausingTarget("t0", NAMES)
            await target.start()
            kit.write_target("t0")
            await kit.wait(kit.gateway.catalog.list_targets)
            calls = [kit.call(method="POST", body=BODY, deadline_ms=8000) for _ in range(3)]
            replies = await asyncio.gather(*calls)
            assert [reply.status for reply in replies] == [200] * 3
            assert all(len(r.body) == len(BODY) for r in kit.received)

    asyncio.run(run())


def test_connection_stays_patient_after_a_long_body():
    """A kept connection detects a dead peer again as soon as it did before."""

    async def run():
        async with GatewayKit.open(targets=1, route={"kind": "at-most-once"}) as kit:
            await kit.call(method="POST", body=b"b" * 100_000)
            ((idle,),) = kit.gateway.pool._idle.values()
            sock = idle._transport.get_extra_info("socket")
            timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert timeout_ms == USER_TIMEOUT_S * 1000

    asyncio.run(run())
