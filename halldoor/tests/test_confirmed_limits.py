"""Limits of an entry that is idle: the store's answer decides whether a refusal by them is final.

Nothing changes, so that a watch waits 28 s and the entry's configuration may be old.
"""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

import pytest

from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway import confirming
from halldoor.gateway.attempt import Origin
from halldoor.gateway.caller import READ_AHEAD
from halldoor.gateway.exchange import BODY_BUFFER_BYTES
from halldoor.gateway.headers import FORWARDED_BY
from halldoor.standins.sample import IP
from halldoor.tests.gatewaykit import NAMES, Caller, GatewayKit, open_pair

STALE_S = 1.5
"""Longer than the time between two renewals of the lease, in seconds."""
UNPROVEN_S = 20.0
WAIT_S = 5.0
"""Longest wait for the store's answer where a test does not measure it, in seconds."""
LOW = {"head_bytes": 2_000, "body_bytes": 4_000}
HIGH = {"head_bytes": 60_000, "body_bytes": 100_000}
READ_BYTES = 262_144
"""Most bytes that one read of a socket returns."""

HOST = b"Host: decks.example\r\nhalldoor-attempt: a%d\r\n"
PLAIN = b"GET /1 HTTP/1.1\r\n" + HOST
POST = b"POST /1 HTTP/1.1\r\n" + HOST
LONG = b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n"
LONG_HEAD = PLAIN % 1 + LONG
PIPELINED_HEAD = PLAIN % 2 + b"\r\n" + PLAIN % 3 + LONG
UNREADABLE_HEAD = PLAIN % 4 + b"X-Long: " + b"x" * 200_000
ANNOUNCED_BODY = POST % 5 + b"Content-Length: 5000\r\n\r\n" + b"x" * 5_000
CHUNKED_BODY = (
    POST % 6 + b"Transfer-Encoding: chunked\r\n\r\n1388\r\n" + b"x" * 5_000 + b"\r\n0\r\n\r\n"
)
AWAITED_BODY = POST % 7 + b"Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n"
HEADS = {
    "head": LONG_HEAD,
    "pipelined head": PIPELINED_HEAD,
    "head beyond the parser's bound": UNREADABLE_HEAD,
}
BODIES = {"announced": ANNOUNCED_BODY, "chunked": CHUNKED_BODY, "awaited": AWAITED_BODY}


@contextlib.asynccontextmanager
async def open_idle(**access):
    """Open a gateway with low limits whose watch has been quiet for longer than `STALE_S`."""
    settings = AccessSettings(**{"stale_s": STALE_S} | access)
    async with GatewayKit.open(access=settings, is_configured=False) as kit:
        kit.configure(limits=LOW)
        await kit.wait(lambda: kit.gateway.catalog.configuration_version == 1)
        await asyncio.sleep(STALE_S + 0.5)
        assert kit.gateway.requests.read_limits().may_be_wrong
        yield kit


async def send(kit, raw):
    """Send bytes over a new connection; return the last answer's status and header fields."""
    caller = await kit.connect()
    caller.writer.write(raw)
    async with asyncio.timeout(5.0):
        data = await caller.reader.read()
    caller.close()
    head = data[data.rindex(b"HTTP/1.1 ") :].partition(b"\r\n\r\n")[0]
    status, *fields = head.split(b"\r\n")
    pairs = (field.split(b": ", 1) for field in fields)
    return int(status.split()[1]), {name.lower(): value for name, value in pairs}


@contextlib.asynccontextmanager
async def open_unproven(answer_s=WAIT_S):
    """Open a gateway with low limits, whose configuration may be old.

    Requests wait for the store for `answer_s` at most, so that a busy machine delays none for too
    long.
    """
    settings = AccessSettings(stale_s=UNPROVEN_S)
    async with GatewayKit.open(access=settings, is_configured=False) as kit:
        kit.configure(limits=LOW)
        await kit.wait(lambda: kit.gateway.catalog.configuration_version == 1)
        kit.gateway.catalog.proof.proven_at -= 2 * UNPROVEN_S
        assert kit.gateway.requests.read_limits().may_be_wrong
        with mock.patch.object(confirming, "ANSWER_S", answer_s):
            yield kit


@pytest.mark.parametrize("name", HEADS)
def test_idle_entry_refuses_a_long_head_as_not_run(name):
    """Regression: the first one got 503."""

    async def check():
        async with open_idle() as kit:
            assert (await send(kit, HEADS[name]))[0] == 431

    asyncio.run(check())


@pytest.mark.parametrize("name", BODIES)
def test_idle_entry_refuses_a_long_body_as_not_run(name):
    """Regression: the first one got 503."""

    async def check():
        async with open_idle() as kit:
            ranges = kit.store.ranges
            assert (await send(kit, BODIES[name]))[0] == 413
            await asyncio.sleep(0.2)
            assert kit.store.ranges == ranges + 1
            assert not kit.received

    asyncio.run(check())


def test_idle_entry_refuses_an_unknown_key_as_not_run():
    async def check():
        async with open_idle() as kit:
            kit.configure(limits=LOW, teams=[{"name": "north", "key_digests": ["0" * 64]}])
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            await asyncio.sleep(STALE_S + 0.5)
            assert (await kit.call(extra=[("Authorization", "Bearer ?")])).status == 401

    asyncio.run(check())


def test_entry_behind_the_store_refuses_for_good():
    """Its limits are lower than those in force."""

    async def check():
        async with open_idle() as kit:
            kit.store.open_gap()
            kit.configure(limits=HIGH)
            for raw in (*HEADS.values(), *BODIES.values()):
                assert (await send(kit, raw))[0] == 503
            (before_pipelined,) = kit.received
            assert before_pipelined.method == b"GET"

    asyncio.run(check())


@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_refusal_waits_for_a_store_that_does_not_answer(name):
    async def check():
        async with open_unproven(confirming.ANSWER_S) as kit:
            kit.store.is_slow = True
            began = asyncio.get_running_loop().time()
            assert (await send(kit, (HEADS | BODIES)[name]))[0] == 503
            took_s = asyncio.get_running_loop().time() - began
            assert confirming.ANSWER_S <= took_s < confirming.ANSWER_S + 3.0

    asyncio.run(check())


@pytest.mark.parametrize(("is_behind", "status"), [(False, 413), (True, 502)])
def test_streamed_body_is_refused_without_confirmation(is_behind, status):
    """A target has its beginning, so that a refusal that is not final can't be "not run"."""
    piece = 2 * BODY_BUFFER_BYTES

    async def check():
        async with open_idle() as kit:
            kit.configure(limits={"body_bytes": 2 * piece}, kind="at-most-once", timeout_s=9.0)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            caller = await kit.connect()
            chunk = b"%x\r\n" % piece + b"x" * piece + b"\r\n"
            caller.writer.write(POST % 9 + b"Transfer-Encoding: chunked\r\n")
            caller.writer.write(NAMES.deadline_ms + b": 9000\r\n\r\n")
            caller.writer.write(chunk)
            await asyncio.sleep(STALE_S + 0.5)
            if is_behind:
                kit.store.open_gap()
                kit.configure(limits={"body_bytes": 9 * piece})
            caller.writer.write(2 * chunk)
            assert b" %d " % status in await caller.reader.readline()
            caller.close()

    asyncio.run(check())


def test_body_is_read_on_while_the_limit_is_confirmed():
    async def check():
        async with open_unproven(1.0) as kit:
            kit.store.is_slow = True
            caller = await kit.connect()
            caller.writer.write(POST % 8 + b"Content-Length: 50000000\r\n\r\n" + b"x" * 20_000_000)
            await kit.wait(lambda: kit.gateway._callers)
            (connection,) = kit.gateway._callers
            for _ in range(10):
                await asyncio.sleep(0.01)
                unread = len(connection._h11.trailing_data[0])
                assert 0 < unread <= READ_AHEAD + READ_BYTES
            assert b" 503 " in await caller.reader.readline()
            caller.close()

    asyncio.run(check())


def test_late_confirmation_is_blamed_on_the_body():
    """A deadline that passes meanwhile was answered 408, body came too slowly."""

    async def check():
        async with open_unproven() as kit:
            kit.store.is_slow = True
            reply = await kit.call(method="POST", body=b"x" * 5_000, deadline_ms=50)
            assert reply.status == 503 and reply.find(b"retry-after")

    asyncio.run(check())


@pytest.mark.parametrize("name", ["head", *BODIES])
def test_limit_that_grows_while_it_is_confirmed_refuses(name):
    async def check():
        async with open_unproven() as kit:
            kit.store.is_slow = True
            sending = asyncio.ensure_future(send_and_keep(kit, (HEADS | BODIES)[name]))
            await asyncio.sleep(0.05)
            kit.configure(limits=HIGH)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
            kit.store.is_slow = False
            assert await sending in (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 \r\n")

    asyncio.run(check())


async def send_and_keep(kit, raw):
    """Send bytes over a new connection, and return the first line of the answer."""
    caller = await kit.connect()
    caller.writer.write(raw)
    line = await caller.reader.readline()
    caller.close()
    return line


def test_forwarded_body_is_refused_without_confirmation():
    async def check():
        async with open_pair() as (one, two):
            one.configure(limits=LOW)
            await two.wait(lambda: two.gateway.catalog.configuration_version == one.version)
            await two.wait(lambda: two.gateway.is_ready)
            two.gateway.catalog.proof.proven_at -= 2 * UNPROVEN_S
            assert two.gateway.requests.read_limits().may_be_wrong
            relay = two.gateway.settings.relay
            streams = await asyncio.open_connection(relay.ip, relay.port, local_addr=(IP, 0))
            caller = Caller(*streams)
            mark = Origin("192.0.2.1").to_mark("e1", "deck")
            with mock.patch.object(confirming, "ANSWER_S", WAIT_S):
                body = b"x" * 5_000
                reply = await caller.call(method="POST", body=body, extra=[(FORWARDED_BY, mark)])
            assert (reply.status, reply.body) == (413, b"halldoor: body too long\n")
            caller.close()

    asyncio.run(check())


@pytest.mark.parametrize("name", ["head", "announced"])
def test_refusal_of_a_caller_that_left_is_awaited(name):
    async def check():
        async with open_unproven() as kit:
            kit.store.is_slow = True
            caller = await kit.connect()
            caller.writer.write((HEADS | BODIES)[name])
            await asyncio.sleep(0.05)
            (connection,) = kit.gateway._callers
            caller.close()
            await kit.wait(connection._task.done, limit_s=WAIT_S / 2)

    asyncio.run(check())


@pytest.mark.parametrize("name", ["head", "announced"])
def test_stop_cuts_off_a_refusal(name):
    """The connection looked idle while its limits were confirmed."""

    async def check():
        async with open_unproven(0.5) as kit:
            kit.store.is_slow = True
            caller = await kit.connect()
            caller.writer.write((HEADS | BODIES)[name])
            await asyncio.sleep(0.05)
            (connection,) = kit.gateway._callers
            connection.close_if_idle()
            assert b" 503 " in await caller.reader.readline()
            caller.close()

    asyncio.run(check())
