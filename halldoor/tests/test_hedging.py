"""Requests that take unusually long are sent to a second target, others never are."""

from __future__ import annotations

import asyncio
import re
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.hedging import LEAST_RATIOS, HedgeDelays, HedgeSettings
from halldoor.gateway.headers import find
from halldoor.gateway.hedging import is_superseded, race
from halldoor.tests.gatewaykit import NAMES, GatewayKit

SLOW_S = 0.8
QUICK_S = 0.02


def make_delays(ratios, **settings):
    delays = HedgeDelays(HedgeSettings(**settings))
    for ratio in ratios:
        delays.add_time("k", took_s=0.1 * ratio, expected_s=0.1)
    return delays


class TestDelay:
    """A delay that is too short doubles the load; one that is too long helps nobody."""

    def test_no_hedge_before_the_times_are_known(self):
        assert make_delays([1.0] * (LEAST_RATIOS - 1)).find_delay("k", expected_s=0.1) is None

    @pytest.mark.parametrize(
        ("tail", "factor"), [(1.2, 1.5), (2.5, 2.5), (7.0, 4.0)], ids=["least", "between", "most"]
    )
    def test_delay_is_a_quantile_of_actual_over_expected_time(self, tail, factor):
        delays = make_delays([1.0] * 180 + [tail] * 20)
        assert delays.find_delay("k", expected_s=0.2) == pytest.approx(0.2 * factor)

    def test_switched_off(self):
        assert make_delays([1.0] * 200, is_on=False).find_delay("k", expected_s=0.1) is None

    @given(st.lists(st.floats(0, 1e6), max_size=300), st.floats(-1, 1e6))
    def test_delay_stays_between_its_bounds(self, ratios, expected_s):
        delay_s = make_delays(ratios).find_delay("k", expected_s=expected_s)
        assert delay_s is None or 1.5 * expected_s <= delay_s <= 4.0 * expected_s


class TestRace:
    @staticmethod
    def run(first_s, second_s, *, first="first", second="second", has_second=True):
        ended = []

        async def attempt(name, takes_s, result):
            try:
                await asyncio.sleep(takes_s)
            except asyncio.CancelledError as exc:
                ended.append((name, is_superseded(exc)))
                raise
            return result

        async def check():
            return await race(
                attempt("first", first_s, first),
                lambda: attempt("second", second_s, second) if has_second else None,
                delay_s=0.05,
                is_success=lambda result: result != "failed",
            )

        return asyncio.run(check()), ended

    def test_quick_first_attempt_is_alone(self):
        assert self.run(0.01, 0.01) == ("first", [])

    def test_second_attempt_supersedes_a_slow_first_one(self):
        assert self.run(5.0, 0.01) == ("second", [("first", True)])

    def test_first_attempt_may_still_win(self):
        assert self.run(0.1, 5.0) == ("first", [("second", True)])

    def test_failed_second_attempt_does_not_end_the_first(self):
        assert self.run(0.2, 0.01, second="failed") == ("first", [])

    def test_last_failure_is_returned_if_both_fail(self):
        assert self.run(0.2, 0.01, first="failed", second="failed") == ("failed", [])

    def test_result_that_is_not_returned_is_discarded(self):
        """Guards against answers of which nobody reads the rest or closes the connection."""
        discarded = []

        async def attempt(name):
            try:
                await asyncio.sleep(0.1)
            except asyncio.CancelledError:
                return name
            return name

        async def check():
            options = {"delay_s": 0.0, "is_success": lambda _: True, "discard": discarded.append}
            return await race(attempt("a"), lambda: attempt("b"), **options)

        returned = asyncio.run(check())
        assert {returned, *discarded} == {"a", "b"} and len(discarded) == 1

    def test_caller_that_leaves_keeps_the_connection_of_a_result(self):
        """A result whose race was cancelled while the other attempt ended was never released."""
        discarded = []

        async def succeed():
            return "a"

        async def check():
            is_ending = asyncio.Event()

            async def end_slowly():
                try:
                    await asyncio.sleep(5)
                finally:
                    is_ending.set()
                    await asyncio.sleep(5)

            task = asyncio.ensure_future(
                race(
                    end_slowly(),
                    succeed,
                    delay_s=0.0,
                    is_success=lambda _: True,
                    discard=discarded.append,
                )
            )
            await is_ending.wait()
            task.cancel()
            await asyncio.wait([task])
            return task.cancelled()

        assert asyncio.run(check())
        assert discarded == ["a"]

    def test_no_second_attempt(self):
        assert self.run(0.1, 0.0, has_second=False) == ("first", [])

    def test_caller_that_leaves_ends_both(self):
        ended = []

        async def attempt(name):
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError as exc:
                ended.append((name, is_superseded(exc)))
                raise

        async def check():
            task = asyncio.ensure_future(
                race(attempt("a"), lambda: attempt("b"), delay_s=0.01, is_success=lambda _: True)
            )
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.wait([task])

        asyncio.run(check())
        assert sorted(ended) == [("a", False), ("b", False)]


async def open_slow_target(kit, name):
    """Make one target slow for the path /slow, after enough quick answers of both."""
    for target in kit.targets.values():

        async def answer(request, writer, target=target):
            is_slow = request.target == b"/slow" and target.incarnation == name
            await asyncio.sleep(SLOW_S if is_slow else QUICK_S)
            writer.write(target.build(request))

        target.script = answer
    for _ in range(LEAST_RATIOS + 10):
        assert (await kit.call(key="k")).status == 200


def count_hedges_won(kit):
    """Count the hedges of a gateway that were answered first."""
    text = kit.gateway.metrics.render().decode()
    found = re.search(r'^halldoor_hedges\{outcome="won"\} (\d+)', text, re.MULTILINE)
    return int(found[1]) if found else 0


def play(route=None, **settings):
    """Call the key's first target, which is slow.

    Returns the reply, its time, and the call's runs, cancelled runs and hedges that won.
    """

    async def check():
        async with GatewayKit.open(targets=2, route={"is_hedged": True} | (route or {})) as kit:
            chooser = kit.gateway.chooser
            await open_slow_target(kit, "")
            first = Counter(r.connection for r in kit.targets["t0"].received)
            name = "t0" if sum(first.values()) > len(kit.targets["t1"].received) else "t1"
            await open_slow_target(kit, name)
            # A quick request that takes unusually long on a busy machine is hedged, too.
            won = count_hedges_won(kit)
            cancelled = sum(t.cancelled for t in kit.targets.values())
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await kit.call(path="/slow", key="k", attempt_id="slow")
            took_s = loop.time() - began
            await kit.wait(lambda: not chooser.in_flight)
            await asyncio.sleep(0.1)  # The targets notice a closed connection within 0.01 s.
            runs = [r for r in kit.received if find(r.headers, NAMES.attempt_id) == b"slow"]
            cancelled = sum(t.cancelled for t in kit.targets.values()) - cancelled
            return reply, took_s, len(runs), cancelled, count_hedges_won(kit) - won

    return asyncio.run(check())


class TestGateway:
    def test_slow_request_is_answered_by_a_second_target(self):
        """Guards against requests that run into their route's timeout at one slow target."""
        reply, took_s, runs, cancelled, won = play()
        assert reply.status == 200 and took_s < 0.7 * SLOW_S
        assert (runs, cancelled) == (2, 1)
        assert won == 1

    @pytest.mark.parametrize(
        "route",
        [{"kind": "at-most-once"}, {"is_hedged": False}, {"max_attempts": 1}],
        ids=["at most once", "not hedged", "one attempt"],
    )
    def test_request_is_sent_once(self, route):
        reply, took_s, runs, cancelled, _ = play(route)
        assert reply.status == 200 and took_s >= SLOW_S
        assert (runs, cancelled) == (1, 0)
