"""Tests that all entries together keep to a rate limit that a target sets in its answers."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

WINDOW_S = 4.0
SPREAD_S = 3.0
"""Time within which all entries receive a limit, in seconds."""

HALF_SHARE = 1 / 6
"""Half of a target's equal share among three targets."""


def find_allowed(limit_per_s):
    """Return the number of requests allowed in any window to a target with a limit."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


def set_limit(target, text):
    """Make a target send a limit in each of its answers."""
    target.extra = [(b"halldoor-limit", text)]


@pytest.mark.parametrize(("entries", "limit_per_s"), [(6, 6.5), (10, 6.5), (10, 0.3), (10, 0.0)])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_entries_together_keep_to_a_limit(entries, limit_per_s, is_isolated):
    """Each entry uses its share of the limit, even if it reaches neither store nor entries."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=100.0, for_s=10.0))
            await asyncio.sleep(1.0)
            if is_isolated:
                fleet.cut(*range(entries), from_others=True)
            limited = fleet.targets[0]
            set_limit(limited, str(limit_per_s).encode())
            since = fleet.now() + SPREAD_S
            await asking
            most = limited.count_peak(since=since, window_s=WINDOW_S)
            assert most <= find_allowed(limit_per_s)
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


class TestEndOfLimit:
    def test_traffic_returns_to_a_target_that_removed_its_limit(self):
        """Traffic returns gradually, also from entries that sent the target nothing."""

        async def check():
            async with RateFleet.open(entries=6, targets=3) as fleet:
                asking = asyncio.ensure_future(fleet.send_requests(per_s=90.0, for_s=14.0))
                await asyncio.sleep(1.0)
                limited = fleet.targets[0]
                set_limit(limited, b"0.5")
                await asyncio.sleep(5.0)
                limited.extra = []
                ended_at = fleet.now()
                await asking
                first = [at for at, _ in limited.arrivals if ended_at <= at < ended_at + 1.0]
                late = [(at, entry) for at, entry in limited.arrivals if at >= ended_at + 5.0]
                answers = sum(at >= ended_at + 5.0 for at, _, _ in fleet.statuses)
                assert len(first) <= 20
                assert len(late) > HALF_SHARE * answers
                assert len({entry for _, entry in late}) == 6

        asyncio.run(check())

    @pytest.mark.parametrize("text", [b"none", b"-1", b"nan", b"inf"])
    def test_invalid_limit_is_ignored(self, text):
        async def check():
            async with RateFleet.open(entries=1, targets=1) as fleet:
                set_limit(fleet.targets[0], text)
                await fleet.send_requests(per_s=60.0, for_s=1.0)
                assert {status for _, _, status in fleet.statuses} == {200}
                metrics = fleet.kits[0].gateway.metrics.render().decode()
                assert "halldoor_bad_limits" in metrics

        asyncio.run(check())


def test_requests_over_the_limits_of_all_targets_are_refused_at_once():
    async def check():
        async with RateFleet.open(entries=2, targets=2) as fleet:
            for target in fleet.targets:
                set_limit(target, b"4")
            await fleet.send_requests(per_s=40.0, for_s=1.0)
            caller = await fleet.kits[0].connect()
            refused = 0
            for number in range(20):
                began_at = fleet.now()
                reply = await caller.call(key=str(number), deadline_ms=3000)
                if reply.status == 503:
                    refused += 1
                    assert fleet.now() - began_at < 0.1
                    assert float(reply.find(b"retry-after")) > 0
            assert refused > 10

    asyncio.run(check())
