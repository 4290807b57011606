"""A target names the requests a second that it takes, and all entries together keep to that."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.ratekit import RateFleet

WINDOW_S = 4.0
SPREAD_S = 3.0
"""Time for all entries to learn of a limit, in seconds."""


def find_allowed(limit_per_s):
    """Return the requests that a target with a limit may get in any window."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


def name_limit(target, text):
    """Let a target name a limit in each of its answers."""
    target.extra = [(b"halldoor-limit", text)]


@pytest.mark.parametrize(("entries", "limit_per_s"), [(6, 6.5), (10, 6.5), (10, 0.3), (10, 0.0)])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_entries_together_exceed_a_named_limit(entries, limit_per_s, is_isolated):
    """Each entry has a part of the limit, also while they don't reach the store or each other."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=100.0, for_s=10.0))
            await asyncio.sleep(1.0)
            if is_isolated:
                fleet.cut(*range(entries), from_others=True)
            limited = fleet.targets[0]
            name_limit(limited, str(limit_per_s).encode())
            since = fleet.now() + SPREAD_S
            await asking
            most = limited.count_most(since=since, window_s=WINDOW_S)
            assert most <= find_allowed(limit_per_s)
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())
