"""Tests that targets that reject requests at once don't attract more requests than others."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

BACK_SHARE = 0.4
"""Least rate of a target that stopped rejecting, as a fraction of the other targets' rate."""


def count_since(target, since):
    """Return the number of requests that a target received since a time."""
    return sum(at >= since for at, _ in target.arrivals)


@pytest.mark.parametrize("fields", [[], [(b"Retry-After", b"soon")]])
def test_targets_that_reject_at_once_do_not_attract_more_requests(fields):
    """The rejections have no ``Retry-After``, or an unreadable one."""

    async def check():
        async with RateFleet.open(entries=6, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=200.0, for_s=8.0))
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
            # Callers send less on a busy host, so the rate is compared with other targets'.
            others = sum(late[2:]) / len(late[2:])
            assert others > 0 and min(late[:2]) > BACK_SHARE * others

    asyncio.run(check())
