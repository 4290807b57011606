"""Targets that turn requests away at once don't draw more of them than others."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

BACK_SHARE = 0.4
"""Part of others' requests that a target gets which no longer turns them away."""


def count_since(target, since):
    return sum(at >= since for at, _ in target.arrivals)


@pytest.mark.parametrize("fields", [[], [(b"Retry-After", b"soon")]])
def test_targets_that_reject_at_once_cost_requests_that_others_have_room_for(fields):
    """They don't say for how long, or not in a way that can be read."""

    async def check():
        async with RateFleet.open(entries=6, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=200.0, for_s=8.0))
            await asyncio.sleep(1.0)
            since = fleet.now()
            for target in fleet.targets[:2]:
                target.rejection = fields
            await asyncio.sleep(5.0)
            for target in fleet.targets[:2]:
                target.rejection = None
            back_at = fleet.now()
            await asking
            assert fleet.find_served(range(6), since=since) > 0.98
            late = [count_since(target, back_at + 1.0) for target in fleet.targets]
            # A busy machine asks for less: what counts is their part of what others get.
            others = sum(late[2:]) / len(late[2:])
            assert others > 0 and min(late[:2]) > BACK_SHARE * others

    asyncio.run(check())
