"""Limits on callers' requests: what may not be the operators' limits refuses nothing for good."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway.retryafter import RETRY_AFTER_S, RETRY_SPREAD
from halldoor.tests.gatewaykit import GatewayKit

LONG = [("X-Long", "x" * 20_000)]
"""Header fields beyond the default limit, which is 16,384 bytes."""
LOW = {"head_bytes": 2_000, "body_bytes": 4_000}
HIGH = {"head_bytes": 60_000, "body_bytes": 100_000}
POST = {"method": "POST", "body": b"x" * 20_000}


async def make_stale(kit):
    """Let the gateway consider its configuration old."""
    kit.gateway.access.settings = AccessSettings(stale_s=-1.0)


async def reject(kit):
    """Write a later configuration that the gateway rejects."""
    kit.store.put("routing", b'{"version":9}')
    await kit.wait(lambda: kit.gateway.catalog.has_rejected_routing)


def test_entry_without_a_configuration_refuses_a_long_head_for_good():
    """It applied default limits: 431."""

    async def check():
        async with GatewayKit.open(is_configured=False) as kit:
            assert (await kit.call(extra=LONG)).status == 503

    asyncio.run(check())


def test_refusal_of_a_long_head_lacks_a_retry_time():
    """Callers of all other requests that did not run were told when to come back."""

    async def check():
        async with GatewayKit.open(is_configured=False) as kit:
            replies = [await kit.call(extra=LONG) for _ in range(20)]
            assert {reply.status for reply in replies} == {503}
            times = {float(reply.find(b"retry-after")) for reply in replies}
            least, most = (RETRY_AFTER_S * (1 + part) for part in (-RETRY_SPREAD, RETRY_SPREAD))
            assert len(times) > 2 and least - 0.01 < min(times) <= max(times) < most + 0.01

    asyncio.run(check())


def test_final_refusal_of_a_long_head_names_a_retry_time():
    async def check():
        async with GatewayKit.open() as kit:
            reply = await kit.call(extra=LONG)
            assert (reply.status, reply.find(b"retry-after")) == (431, b"")

    asyncio.run(check())


@pytest.mark.parametrize("make_old", [make_stale, reject])
def test_old_limits_refuse_for_good(make_old):
    async def check():
        async with GatewayKit.open() as kit:
            kit.configure(limits=LOW, **{"kind": "at-most-once"})
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            assert (await kit.call(extra=LONG)).status == 431
            assert (await kit.call(**POST)).status == 413
            await make_old(kit)
            assert (await kit.call(extra=LONG)).status == 503
            assert (await kit.call(**POST)).status == 503
            assert (await kit.call()).status == 200

    asyncio.run(check())


def test_connection_keeps_the_head_limit_of_its_last_answer():
    """A kept connection applied the limit that was in force when it became idle."""

    async def check():
        async with GatewayKit.open() as kit:
            kit.configure(limits=LOW)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            caller = await kit.connect()
            assert (await caller.call()).status == 200
            kit.configure(limits=HIGH)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 3)
            assert (await caller.call(extra=LONG)).status == 200
            caller.close()

    asyncio.run(check())


def test_head_beyond_the_parser_of_an_older_limit_is_refused_for_good():
    """The parser of a kept connection keeps its bound: 431 for a head that operators now allow."""

    async def check():
        async with GatewayKit.open() as kit:
            kit.configure(limits=LOW)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            caller = await kit.connect()
            await asyncio.sleep(0.1)
            kit.configure(limits={"head_bytes": 300_000})
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 3)
            caller.writer.write(b"GET /1 HTTP/1.1\r\nHost: decks.example\r\nX-Long: ")
            caller.writer.write(b"x" * 200_000)
            assert b" 503 " in await caller.reader.readline()
            caller.close()

    asyncio.run(check())


@pytest.mark.parametrize(("limits", "status"), [(HIGH, 200), ({"body_bytes": 4_100}, 413)])
def test_body_is_refused_by_a_limit_that_has_grown(limits, status):
    """The limit at the head decided on a body that the next configuration allows."""

    async def check():
        async with GatewayKit.open() as kit:
            kit.configure(limits=LOW, **{"kind": "at-most-once"})
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            caller = await kit.connect()
            head = "POST /1 HTTP/1.1\r\nHost: decks.example\r\nhalldoor-attempt: a\r\n"
            caller.writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            await asyncio.sleep(0.1)
            kit.configure(limits=limits, **{"kind": "at-most-once"})
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 3)
            caller.writer.write(b"1388\r\n" + b"x" * 5_000 + b"\r\n0\r\n\r\n")
            assert f" {status} ".encode() in await caller.reader.readline()
            caller.close()

    asyncio.run(check())


def test_body_is_refused_by_a_limit_that_has_shrunk():
    """A body within the limit at its head is read to its end."""

    async def check():
        async with GatewayKit.open() as kit:
            caller = await kit.connect()
            head = "GET /1 HTTP/1.1\r\nHost: decks.example\r\nhalldoor-attempt: b\r\n"
            caller.writer.write(f"{head}Content-Length: 5000\r\n\r\n".encode())
            await asyncio.sleep(0.1)
            kit.configure(limits=LOW)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            caller.writer.write(b"x" * 5_000)
            assert b" 200 " in await caller.reader.readline()
            caller.close()

    asyncio.run(check())
