"""Targets whose bytes never end, in a head, in a body or after an answer."""

from __future__ import annotations

import asyncio
import weakref
from unittest import mock

import h11
import pytest

from halldoor.gateway.connection import READ_LIMIT, HttpConnection
from halldoor.gateway.exchange import ANSWER_BUFFER_BYTES
from halldoor.standins.narrowlink import connect_narrow
from halldoor.tests.gatewaykit import HEALTH_PATH, GatewayKit
from halldoor.tests.narrowkit import build_request, send_on

DEADLINE_MS = 800
SLACK_S = 0.4
"""Time beyond the deadline in which a caller has its answer, in seconds."""
TRICKLE_S = 0.01
"""Pause of a target that trickles between two pieces, in seconds."""
FLOOD_PAUSE_S = 0.005
"""Pause of a target that floods, in seconds: 12 MB/s, since all run in one process."""
MEMORY_BYTES = 2 * (READ_LIMIT + ANSWER_BUFFER_BYTES)
"""Bytes that an entry may hold for one connection: what is buffered, and one read on top."""


def build_head(target, request, **fields):
    """Build the head of an answer without a length."""
    data = target.build(request, body=b"", has_length=False)
    lines = b"".join(b"%s: %s\r\n" % (n.encode(), v) for n, v in fields.items())
    return data[:-2] + lines + b"\r\n"


def list_pieces(kind, target, request):
    """Return the first bytes of an answer, and those that follow without end."""
    chunked = build_head(target, request, **{"Transfer-Encoding": b"chunked"})
    own = target.build(request, body=b"whole")
    return {
        "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n"),
        "one-field": (b"HTTP/1.1 200 OK\r\nX-Field: ", b"value"),
        "no-status-line": (b"", b"no answer "),
        "no-line-end": (b"", b"\x00"),
        "informational": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        "bad-chunks": (chunked, b"not a chunk\r\n"),
        "chunk-size": (chunked, b"0"),
        "chunk-extension": (chunked + b"5;", b"extension"),
        "chunks": (chunked, b"400\r\n" + b"x" * 1024 + b"\r\n"),
        "trailers": (chunked + b"0\r\n", b"X-Field: value\r\n"),
        "length": (build_head(target, request, **{"Content-Length": b"%d" % 2**40}), b"x" * 16),
        "no-length": (build_head(target, request), b"x" * 16),
        "other-answer": (
            target.build(request, body=b"", has_length=False, attempt_id=b"other"),
            b"x" * 16,
        ),
        "surplus": (own, b"surplus"),
    }[kind]


INVALID = ["fields", "one-field", "no-status-line", "no-line-end", "informational"]
INVALID += ["bad-chunks", "chunk-size", "chunk-extension", "trailers", "other-answer"]
VALID = ["chunks", "length", "no-length"]
"""Kinds of bytes that stay valid HTTP as long as they come."""


def make_endless(target, kind, *, trickles):
    """Make a target send bytes of a kind without end, in large pieces or one by one."""

    async def send(request, writer):
        if request.target == HEALTH_PATH:
            await target.answer(request, writer)
            return
        first, piece = list_pieces(kind, target, request)
        writer.write(first)
        while True:
            writer.write(piece if trickles else piece * (65_536 // len(piece)))
            await writer.drain()
            await asyncio.sleep(TRICKLE_S if trickles else FLOOD_PAUSE_S)

    target.script = send


async def measure_memory(kit):
    """Return the most bytes that a connection of the entry held, sampled until cancelled.

    The connections opened since the call are listed as they open: a search of all objects of a
    whole run of tests would stall the process for most of a period.
    """
    most = 0
    connections = weakref.WeakSet()
    init = HttpConnection.__init__

    def record(connection):
        init(connection)
        connections.add(connection)

    with mock.patch.object(HttpConnection, "__init__", record):
        try:
            while True:
                await asyncio.sleep(0.05)
                for connection in list(connections):
                    most = max(most, len(connection._h11.trailing_data[0]))
                for caller in kit.gateway._callers:
                    most = max(most, caller._transport.get_write_buffer_size())
        except asyncio.CancelledError:
            return most


async def call_repeatedly(kit, *, count=24):
    """Send requests one after the other; return each one's status and duration, in seconds.

    The status is 0 if the answer broke off.
    """
    loop = asyncio.get_running_loop()

    async def call(i):
        began = loop.time()
        try:
            status = (await kit.call(key=str(i), deadline_ms=DEADLINE_MS)).status
        except (ConnectionError, h11.RemoteProtocolError):
            status = 0
        return status, loop.time() - began

    running = []
    for i in range(count):
        running.append(asyncio.ensure_future(call(i)))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*running)


async def call_and_measure(kit):
    """Send requests, check durations and memory, and return the statuses."""
    memory = asyncio.ensure_future(measure_memory(kit))
    answers = await call_repeatedly(kit)
    memory.cancel()
    assert max(took_s for _, took_s in answers) < DEADLINE_MS / 1000 + SLACK_S
    assert await memory <= MEMORY_BYTES
    await kit.wait(lambda: not kit.gateway.requests.running)
    return [status for status, _ in answers]


@pytest.mark.parametrize("trickles", [False, True], ids=["flood", "trickle"])
class TestOneOfFour:
    """Guards against callers, connections and memory that one such target holds for good."""

    @pytest.mark.parametrize("kind", [*INVALID, *VALID])
    def test_requests_at_other_targets_fail(self, kind, trickles):
        """A flood that is no answer is noticed at once, and the request is retried."""

        async def check():
            async with GatewayKit.open(targets=4) as kit:
                target = kit.targets["t0"]
                make_endless(target, kind, trickles=trickles)
                statuses = await call_and_measure(kit)
                failed = [status for status in statuses if status != 200]
                arrived = [r for r in target.received if r.target != HEALTH_PATH]
                assert arrived
                assert len(failed) <= len(arrived)
                if kind in INVALID and not trickles:
                    assert failed == []
                assert set(failed) <= {0, 504}
                await kit.wait(lambda: not target._writers)

        asyncio.run(check())

    def test_bytes_after_a_whole_answer_are_part_of_another(self, trickles):
        async def check():
            async with GatewayKit.open(targets=4) as kit:
                make_endless(kit.targets["t0"], "surplus", trickles=trickles)
                assert await call_and_measure(kit) == [200] * 24

        asyncio.run(check())


@pytest.mark.parametrize("kind", ["fields", "bad-chunks", "chunks"])
@pytest.mark.parametrize("trickles", [False, True], ids=["flood", "trickle"])
def test_all_targets_send_without_end(kind, trickles):
    """Callers get an answer by their deadline, and nothing of it looks complete."""

    async def check():
        async with GatewayKit.open(targets=4) as kit:
            for target in kit.targets.values():
                make_endless(target, kind, trickles=trickles)
            assert set(await call_and_measure(kit)) <= {0, 502, 503, 504}

    asyncio.run(check())


@pytest.mark.parametrize("kind", VALID)
def test_slow_caller_behind_a_body_without_end(kind):
    """The entry reads no more than its caller takes, and ends it at the deadline."""

    async def check():
        async with GatewayKit.open(targets=1) as kit:
            make_endless(kit.targets["t0"], kind, trickles=False)
            memory = asyncio.ensure_future(measure_memory(kit))
            sock = connect_narrow(kit.front_port)
            await send_on(sock, build_request(b"first", deadline_ms=DEADLINE_MS))
            await kit.wait(lambda: kit.received)
            await kit.wait(lambda: not kit.gateway.requests.running, limit_s=2.0)
            memory.cancel()
            assert await memory <= MEMORY_BYTES
            sock.close()

    asyncio.run(check())
