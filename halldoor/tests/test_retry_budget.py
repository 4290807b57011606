"""The retry budget over all entries, counted at the targets while entries restart."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.budgetkit import BudgetFleet

BUDGET = {"ratio": 0.2, "slack": 8.0, "window_s": 2.0}
PER_S = 150.0
LEAST_REPEATS = {"shed": 10, "lose": 3, "stall": 3}
"""Arrivals beyond the first that each trouble causes at least."""


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

    While targets stall, requests are hedged.
    """

    async def check():
        options = {"entries": 4, "spares": 4, "budget": BUDGET, "route": {"is_hedged": True}}
        async with BudgetFleet.open(**options) as fleet:
            sending = asyncio.ensure_future(fleet.send_requests(per_s=PER_S, for_s=4.4))
            await asyncio.sleep(2.2)
            fleet.set_trouble(trouble)
            await asyncio.sleep(0.6)
            await fault(fleet)
            await sending
            fleet.assert_within_budget()
            assert len(fleet.list_repeats()) > LEAST_REPEATS[trouble]

    asyncio.run(check())
