"""The retry budget over all entries, counted at the targets while entries restart."""

from __future__ import annotations

import asyncio
import math

import pytest

from halldoor.core.targets.hedging import LEAST_RATIOS
from halldoor.tests.budgetkit import BudgetFleet

BUDGET = {"ratio": 0.2, "slack": 8.0, "window_s": 2.0}
PER_S = 150.0
LEAST_REPEATS = {"shed": 10, "lose": 3, "stall": 3}
"""Arrivals beyond the first that each trouble causes at least, before the entries restart."""
CALM_S, TROUBLE_S = 2.2, 2.2
"""Least time before the trouble, and time from its begin to the last request, in seconds."""
RESTART_AFTER_S = 0.6
"""Least time from the begin of the trouble to the restarts, in seconds."""


async def keep_up(fleet):
    """Restart no entry."""


async def restart_all(fleet):
    """Restart all entries at the same moment."""
    await fleet.restart(*fleet.kits)


async def restart_repeatedly(fleet):
    """Restart all entries at the same moment, several times in a row."""
    for _ in range(3):
        await fleet.restart(*fleet.kits)
        await asyncio.sleep(0.25)


async def restart_in_turn(fleet):
    """Restart the entries one after the other."""
    for i in list(fleet.kits):
        await fleet.restart(i)


async def start_more(fleet):
    """Start further entries, one after the other."""
    while fleet.can_start_more:
        await fleet.start_next()
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("trouble", ["shed", "lose", "stall"])
@pytest.mark.parametrize(
    "fault", [keep_up, restart_all, restart_repeatedly, restart_in_turn, start_more]
)
def test_retries_exceed_their_budget_after_entries_restart(fault, trouble):
    """All targets are in trouble after a calm time, and entries start or restart soon after.

    While targets stall, requests are hedged, by entries that had enough answers before; that takes
    longer where the process of all entries, targets and callers is slow.
    """

    async def check():
        options = {"entries": 4, "spares": 4, "budget": BUDGET, "route": {"is_hedged": True}}
        async with BudgetFleet.open(**options) as fleet:
            sending = asyncio.ensure_future(fleet.send_requests(per_s=PER_S, for_s=math.inf))
            await asyncio.sleep(CALM_S)
            await fleet.wait(lambda: min(fleet.answered[i] for i in range(4)) > LEAST_RATIOS)
            fleet.set_trouble(trouble)
            ends = fleet.now() + TROUBLE_S
            await asyncio.sleep(RESTART_AFTER_S)
            await fleet.wait(lambda: len(fleet.list_repeats()) > LEAST_REPEATS[trouble])
            await fault(fleet)
            await asyncio.sleep(ends - fleet.now())
            sending.cancel()
            fleet.assert_within_budget()

    asyncio.run(check())
