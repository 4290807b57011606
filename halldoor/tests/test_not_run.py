"""Tests of requests that no target ran: shed, sent to another incarnation, or not connected."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.gateway.connection import ConnectionFailedError
from halldoor.gateway.pool import CONNECT_TIMEOUT_S
from halldoor.tests.gatewaykit import NAMES, GatewayKit, by_kind


class TestNotRun:
    @pytest.mark.parametrize("kind", ["repeatable", "at-most-once", "upload"])
    def test_what_every_target_sheds_is_refused_at_once(self, kind):
        async def check():
            async with GatewayKit.open(route=by_kind(kind)) as kit:
                kit.script_all("shed")
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 503
                assert float(reply.find(b"retry-after")) > 0
                assert not reply.find(NAMES.signature)
                assert len(kit.received) == 2

        asyncio.run(check())

    def test_another_incarnation_is_dropped_and_the_request_goes_on(self):
        async def check():
            async with GatewayKit.open(targets=2, route=by_kind("at-most-once")) as kit:
                for target in kit.targets.values():
                    target.incarnation = "new"
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 503
                assert not list(kit.gateway.catalog.list_targets())

        asyncio.run(check())

    def test_dead_target_costs_no_attempt(self):
        async def check():
            async with GatewayKit.open(targets=3, route=by_kind("at-most-once")) as kit:
                for name in ("t0", "t1"):
                    await kit.targets[name].stop()
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 200

        asyncio.run(check())

    def test_the_last_target_that_runs_is_found(self):
        """Regression: a request was refused after three refused connections within 5 ms.

        It had 0.99 s left and nine targets were running: 1 to 6 of some 60 requests in 8 s failed.
        """

        async def check():
            async with GatewayKit.open(targets=8, route=by_kind("at-most-once")) as kit:
                for name in list(kit.targets)[1:]:
                    await kit.targets[name].stop()
                reply = await kit.call(method="POST", body=b"x")
                assert (reply.status, len(kit.received)) == (200, 1)

        asyncio.run(check())

    def test_connections_that_hang_end_it_while_its_caller_can_come_back(self, monkeypatch):
        async def hang(*args, **options):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectionFailedError("TimeoutError")

        async def check():
            async with GatewayKit.open(targets=8, route={"timeout_s": 5.0}) as kit:
                lines = []
                kit.gateway.log.request = lambda *_, **fields: lines.append(fields)
                monkeypatch.setattr(kit.gateway.pool, "open", hang)
                reply = await kit.call(deadline_ms=4000)
                assert (reply.status, len(lines[0]["attempts"])) == (503, 3)

        asyncio.run(check())
