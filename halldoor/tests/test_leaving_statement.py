"""A target says in its answers that it leaves, and gets no further requests from then on."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

SPREAD_S = 2.0
"""Time after which a target that leaves gets nothing new, in seconds."""


def say_leaving(target):
    """Make a target say that it leaves in each of its answers."""
    target.extra = [(b"halldoor-leaving", b"1")]


@pytest.mark.parametrize("entries", [6, 10])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_requests_reach_a_target_after_it_said_that_it_leaves(entries, is_isolated):
    """Its record never says so: the store is away, or turns the target away."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=150.0, for_s=6.0))
            await asyncio.sleep(1.0)
            fleet.cut(*range(entries), from_others=is_isolated)
            leaving = fleet.targets[0]
            say_leaving(leaving)
            since = fleet.now() + SPREAD_S
            await asking
            assert leaving.count_most(since=since, window_s=60.0) == 0
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())
