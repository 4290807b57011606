"""Tests of requests that no target ran: shed, sent to another incarnation, or not connected."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.gateway.connection import ConnectionFailedError
from halldoor.gateway.pool import CONNECT_TIMEOUT_S
from halldoor.tests.gatewaykit import NAMES, GatewayKit, build_route_changes


class TestNotRun:
    @pytest.mark.parametrize("kind", ["repeatable", "at-most-once", "upload"])
    def test_request_shed_by_all_targets_is_refused_at_once(self, kind):
        async def check():
            async with GatewayKit.open(route=build_route_changes(kind)) as kit:
                kit.script_all("shed")
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 503
                assert float(reply.find(b"retry-after")) > 0
                assert not reply.find(NAMES.signature)
                assert len(kit.received) == 2

        asyncio.run(check())

    def test_target_replaced_by_another_incarnation_is_removed(self):
        async def check():
            async with GatewayKit.open(targets=2, route=build_route_changes("at-most-once")) as kit:
                for target in kit.targets.values():
                    target.incarnation = "new"
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 503
                assert not list(kit.gateway.catalog.list_targets())

        asyncio.run(check())

    def test_refused_connection_does_not_count_as_attempt(self):
        async def check():
            async with GatewayKit.open(targets=3, route=build_route_changes("at-most-once")) as kit:
                for name in ("t0", "t1"):
                    await kit.targets[name].stop()
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 200

        asyncio.run(check())

    def test_request_reaches_the_only_running_target(self):
        """Regression: a request was refused after three refused connections within 5 ms.

        It had 0.99 s left and nine targets were running: 1 to 6 of some 60 requests in 8 s failed.
        """

        async def check():
            async with GatewayKit.open(targets=8, route=build_route_changes("at-most-once")) as kit:
                for name in list(kit.targets)[1:]:
                    await kit.targets[name].stop()
                reply = await kit.call(method="POST", body=b"x")
                assert (reply.status, len(kit.received)) == (200, 1)

        asyncio.run(check())

    def test_request_is_refused_after_three_hanging_connections(self, monkeypatch):
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
