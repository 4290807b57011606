"""A target that turns an entry away and asks for a rest gets nothing from it for that time."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

REST_S = 3.0
GRACE_S = 0.5
"""Time in which requests that were under way may still arrive, in seconds."""
MOST_IN_REST = 2
"""Requests of one entry that may reach a target within a rest."""


def ask_for_rest(targets, text):
    """Let targets turn every request away, and ask for a rest."""
    for target in targets:
        target.rejection = [(b"Retry-After", text)]


def serve(targets):
    """Let targets serve again."""
    for target in targets:
        target.rejection = None


def count_most_in_rest(target, rest_s=REST_S):
    """Return the most requests of one entry within a rest that it was asked for."""
    return max(
        (
            sum(entry == e and at + GRACE_S < t < at + rest_s for t, e in target.arrivals)
            for at, entry in target.rejected
        ),
        default=0,
    )


@pytest.mark.parametrize("entries", [6, 10])
def test_requests_reach_a_target_within_the_rest_that_it_asked_for(entries):
    """Others have room, so that callers need not notice."""

    async def check():
        async with RateFleet.open(entries=entries, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=200.0, for_s=8.0))
            await asyncio.sleep(1.0)
            resting = fleet.targets[:2]
            since = fleet.now()
            ask_for_rest(resting, b"3")
            await asyncio.sleep(5.0)
            serve(resting)
            await asking
            assert all(target.rejected for target in resting)
            assert max(map(count_most_in_rest, resting)) <= MOST_IN_REST
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


def test_callers_are_told_to_come_back_while_all_targets_rest():
    """Before the first of them wants requests again, nothing is sent."""

    async def check():
        async with RateFleet.open(entries=6, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=200.0, for_s=7.0))
            await asyncio.sleep(1.0)
            begin = fleet.now()
            ask_for_rest(fleet.targets, b"3")
            await asyncio.sleep(1.5)
            first = len(fleet.told)
            await asyncio.sleep(1.0)
            serve(fleet.targets)
            told = fleet.told[first:]
            assert len(told) > 100
            for at, after_s in told:
                assert at + after_s >= begin + REST_S
            await asking
            assert max(map(count_most_in_rest, fleet.targets)) <= MOST_IN_REST

    asyncio.run(check())
