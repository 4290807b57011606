"""Tests of requests over connections kept from earlier exchanges."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.gatewaykit import GatewayKit


def build_route_changes(kind):
    """Return the route fields to override for a kind of request."""
    return {"kind": kind}


class TestKeptConnections:
    @pytest.mark.parametrize(
        ("kind", "connections"), [("repeatable", 1), ("at-most-once", 1), ("upload", 3)]
    )
    def test_requests_other_than_uploads_reuse_a_connection(self, kind, connections):
        """A new connection costs a round trip before the request is sent: a fifth of some aims."""

        async def check():
            async with GatewayKit.open(targets=1, route=build_route_changes(kind)) as kit:
                for _ in range(3):
                    assert (await kit.call(method="POST", body=b"x")).status == 200
                assert len({r.connection for r in kit.received}) == connections

        asyncio.run(check())

    @pytest.mark.parametrize("kind", ["repeatable", "at-most-once"])
    def test_late_duplicate_answer_does_not_fail_the_next_request(self, kind):
        """The surplus answer arrives where the next request's answer is expected."""

        async def check():
            async with GatewayKit.open(targets=1, route=build_route_changes(kind)) as kit:
                target = kit.targets["t0"]
                earlier = {}

                async def answer_late_twice(request, writer):
                    if request.connection in earlier:
                        writer.write(target.build(earlier[request.connection], body=b"surplus"))
                    earlier[request.connection] = request
                    writer.write(target.build(request, body=b"own"))

                target.script = answer_late_twice
                replies = [await kit.call(method="POST", body=b"x") for _ in range(4)]
                assert [(r.status, r.body) for r in replies] == [(200, b"own")] * 4
                # A connection that received a surplus answer is not reused.
                assert [r.connection for r in target.received] == [1, 1, 2, 2]

        asyncio.run(check())

    def test_nonrepeatable_request_on_a_reset_kept_connection_is_502(self):
        async def check():
            async with GatewayKit.open(route=build_route_changes("at-most-once")) as kit:
                assert (await kit.call(method="POST", body=b"x")).status == 200
                kit.script_all("reset")
                assert (await kit.call(method="POST", body=b"x")).status == 502
                assert len(kit.received) == 2
                assert len({r.connection for r in kit.received}) == 1

        asyncio.run(check())

    def test_unacknowledged_connection_closes_all_idle_ones(self):
        """A network fault that cuts one connection without a reset cuts others too."""

        async def check():
            async with GatewayKit.open(targets=2, route=build_route_changes("at-most-once")) as kit:
                for key in "abcdefgh":
                    await kit.call(method="POST", body=b"x", key=key)
                assert {len(t.received) > 0 for t in kit.targets.values()} == {True}
                pool, taken = kit.gateway.pool, []
                take_idle = pool.take_idle
                pool.take_idle = lambda *args: taken.append(take_idle(*args)) or taken[-1]
                kit.script_all("hang")
                waiting = asyncio.ensure_future(kit.call(method="POST", body=b"x"))
                await kit.wait(lambda: len(kit.received) == 9)
                assert pool.count_idle() > 0
                taken[-1].connection_lost(TimeoutError("no acknowledgement"))
                assert (await waiting).status == 502
                assert pool.count_idle() == 0

        asyncio.run(check())

    def test_unanswered_kept_connection_closes_the_targets_idle_ones(self):
        """A peer may acknowledge bytes on old connections and never answer; new ones work."""

        async def check():
            async with GatewayKit.open(targets=1, route=build_route_changes("at-most-once")) as kit:
                target = kit.targets["t0"]
                first = [asyncio.ensure_future(kit.call(method="POST", body=b"x")) for _ in "ab"]
                assert [(await call).status for call in first] == [200, 200]
                kept = kit.gateway.pool.count_idle()
                target.script = target.hang
                late = await kit.call(method="POST", body=b"x", deadline_ms=200)
                assert (late.status, kept) == (504, 2)
                assert kit.gateway.pool.count_idle() == 0

        asyncio.run(check())

    def test_crashed_target_with_several_kept_connections_fails_one_request(self):
        """Regression: each kept connection to a crashed target failed one more request."""

        async def check():
            async with GatewayKit.open(targets=1, route=build_route_changes("at-most-once")) as kit:
                calls = [asyncio.ensure_future(kit.call(method="POST", body=b"x")) for _ in "abc"]
                assert [(await call).status for call in calls] == [200] * 3
                assert kit.gateway.pool.count_idle() == 3
                kit.script_all("reset")
                assert (await kit.call(method="POST", body=b"x")).status == 502
                assert kit.gateway.pool.count_idle() == 0

        asyncio.run(check())

    @pytest.mark.parametrize("size", [1_000, 60_000, 200_000])
    def test_connection_kept_while_reading_is_paused_hides_its_close(self, size):
        """The next request was sent on a connection that the target had closed long before."""

        async def check():
            async with GatewayKit.open(targets=1, route=build_route_changes("at-most-once")) as kit:
                target = kit.targets["t0"]

                async def answer_and_close(request, writer):
                    writer.write(target.build(request, body=b"a" * size))
                    asyncio.get_running_loop().call_later(0.1, writer.close)

                target.script = answer_and_close
                for _ in range(4):
                    assert (await kit.call(method="POST", body=b"x")).status == 200
                    await asyncio.sleep(0.3)
                assert len({r.connection for r in kit.received}) == 4

        asyncio.run(check())
