"""Requests of one caller that are odd HTTP, and what they cost other callers."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.gateway.body import BODY_BUFFER_BYTES
from halldoor.gateway.exchange import ANSWER_BUFFER_BYTES
from halldoor.tests.gatewaykit import NAMES, GatewayKit

CHUNKED = b"Transfer-Encoding: chunked"


def chunk(data):
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


async def send_raw(kit, head, body=b""):
    """Send a request over a new connection; return all that is received."""
    reader, writer = await asyncio.open_connection("127.0.0.1", kit.front_port)
    fields = b"Host: decks.example\r\n%s: a1\r\n" % NAMES.attempt_id
    writer.write(head.replace(b"\r\n", b" HTTP/1.1\r\n" + fields, 1) + b"\r\n" + body)
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /1\r\nConnection: close, %s\r\n" % NAMES.attempt_id, b"200"),
        (b"GET /1\r\nConnection: close, Host\r\n", b"200"),
        (b"CONNECT /1\r\n", b"501"),
    ],
)
def test_odd_request_ejects_sound_targets(head, status, capfd):
    """Sound targets counted as failing, and the request as one that crashes them."""

    async def run():
        async with GatewayKit.open(targets=3) as kit:
            answers = [await send_raw(kit, head) for _ in range(10)]
            assert {answer[9:12] for answer in answers} == {status}
            assert [(await kit.call()).status for _ in range(5)] == [200] * 5

    asyncio.run(run())
    log = capfd.readouterr().out
    assert "Ejected" not in log
    assert "crashed" not in log


def test_length_beside_chunks_fails_a_long_upload():
    """The length was sent on although it is overridden, and the body did not match it."""
    body = b"u" * (BODY_BUFFER_BYTES + 1_000)

    async def run():
        async with GatewayKit.open(route={"kind": "at-most-once"}) as kit:
            head = b"POST /1\r\nConnection: close\r\nContent-Length: 3\r\n%s\r\n" % CHUNKED
            answer = await send_raw(kit, head, chunk(body))
            assert answer[9:12] == b"200"
            assert [request.body for request in kit.received] == [body]

    asyncio.run(run())


@pytest.mark.parametrize("length", [3, 10**7])
def test_length_beside_chunks_breaks_a_long_answer_off(length):
    """The length was passed on although it is overridden, and the body did not match it."""
    body = b"a" * (ANSWER_BUFFER_BYTES + 1_000)

    async def run():
        async with GatewayKit.open() as kit:

            async def answer_twice_framed(request, writer):
                fields = [(b"Content-Length", b"%d" % length), (b"Transfer-Encoding", b"chunked")]
                head = kit.targets["t0"].build(request, body=b"", extra=fields, has_length=False)
                writer.write(head + chunk(body))

            for target in kit.targets.values():
                target.script = answer_twice_framed
            reply = await kit.call()
            assert (reply.status, reply.body) == (200, body)

    asyncio.run(run())


@pytest.mark.parametrize("script", ["hang", "answer_at_deadline"])
@pytest.mark.parametrize("framing", [b"Transfer-Encoding: chunked", b"Content-Length: 1000000"])
def test_stalled_upload_ejects_sound_targets(framing, script, capfd):
    """Targets counted as too slow for a body that its caller did not send."""
    begun = b"%x\r\n" % (BODY_BUFFER_BYTES + 1_000) if b"chunked" in framing else b""
    body = begun + b"u" * (BODY_BUFFER_BYTES + 1_000)
    head = b"POST /1\r\nConnection: close\r\n%s: 300\r\n%s\r\n" % (NAMES.deadline_ms, framing)

    async def run():
        async with GatewayKit.open(targets=3, route={"kind": "at-most-once"}) as kit:
            for target in kit.targets.values():
                target.read_body = False

                async def answer_at_deadline(request, writer, target=target):
                    await asyncio.sleep(0.3)
                    writer.write(target.build(request, status=b"504 Late", is_signed=False))

                is_hanging = script == "hang"
                target.script = target.hang if is_hanging else answer_at_deadline
            answers = [await send_raw(kit, head, body) for _ in range(10)]
            assert {answer[9:12] for answer in answers} == {b"504"}

    asyncio.run(run())
    assert "Ejected" not in capfd.readouterr().out
