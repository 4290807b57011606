"""Which configuration admits a request that waits behind others of its connection."""

from __future__ import annotations

import asyncio

from halldoor.gateway.callerrequest import Head
from halldoor.gateway.headers import find
from halldoor.tests.gatewaykit import GatewayKit


class RecordingCaller:
    """A caller's request that records the status of its answer."""

    address = "127.0.0.1"
    requests_ahead = 1
    status = 0

    def send(self, answer):
        self.status = answer.status


def test_request_that_waited_is_refused_by_the_age_at_its_arrival():
    """An entry that lost the store meanwhile answered 404 by a configuration that may be old."""

    async def check():
        async with GatewayKit.open() as kit:
            gateway = kit.gateway
            kit.store.take_down()
            now = asyncio.get_running_loop().time()
            gateway.catalog.proof.proven_at = now - 5.0
            caller = RecordingCaller()
            head = Head(b"GET", b"/1", [(b"Host", b"other.example")], now - 5.0)
            await gateway.requests.handle(caller, head)
            assert caller.status == 503

    asyncio.run(check())


def test_request_that_waits_is_admitted_by_the_configuration_of_its_turn():
    async def check():
        async with GatewayKit.open(targets=1, route={"path_prefix": "/old/"}) as kit:
            target = kit.targets["t0"]

            async def answer_late(request, writer):
                await asyncio.sleep(0.5 if request.target == b"/old/1" else 0.0)
                await target.answer(request, writer)

            target.script = answer_late
            caller = await kit.connect()
            await caller.send(path="/old/1", deadline_ms=3000)
            second = b"GET /new/1 HTTP/1.1\r\nHost: decks.example\r\nhalldoor-attempt: a9\r\n\r\n"
            caller.writer.write(second)
            await asyncio.sleep(0.1)
            kit.configure(path_prefix="/new/")
            assert (await caller.receive()).status == 200
            # Both answers may have come in one read.
            rest = caller._h11.trailing_data[0] or await caller.reader.readline()
            assert b" 200 " in rest.partition(b"\r\n")[0]
            assert [find(r.headers, b"halldoor-attempt") for r in kit.received][-1] == b"a9"
            caller.close()

    asyncio.run(check())
