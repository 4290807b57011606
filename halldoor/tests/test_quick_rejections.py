"""Targets that turn requests away at once don't draw more of them than others."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet


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
            for target in fleet.targets[:2]:
                late = [at for at, _ in target.arrivals if at >= back_at + 1.0]
                assert len(late) > 10

    asyncio.run(check())
