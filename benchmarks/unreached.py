"""Ways to bridge the loss of all targets, side by side: ``python -m benchmarks.unreached``.

Real gateways in one process, half or all but one of them cut off from all targets for 12 s.  A
stand-in for the platform asks each entry once a second whether it is ready, and takes it out after
two refusals; callers keep that list for a second and choose an entry of it at random.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any, NamedTuple

from benchmarks.common import format_table, write_result
from halldoor.gateway.attempt import RequestResult
from halldoor.standins.targetlink import Cut
from halldoor.tests.reachkit import ReachFleet

CUT_S = 12.0
PER_S = 100.0
CHECK_S = 1.0
CHECKS_TO_LEAVE = 2
LIST_TTL_S = 1.0
ENTRIES = 6
PROCESSES = 4

WAYS: dict[str, dict[str, Any]] = {
    "as before": {"forwards": False},
    "refuses at once": {},
    "not ready": {"forwards": False, "leaves_lookups": True},
    "forwards": {},
    "forwards, not ready": {"leaves_lookups": True},
}


class Platform:
    """Stand-in for the platform's readiness checks and for the list that callers choose from."""

    def __init__(self, fleet: ReachFleet) -> None:
        self._fleet = fleet
        self.ready = list(range(len(fleet.kits)))
        self.listed = list(self.ready)

    async def run(self) -> None:
        """Check all entries and renew the list until cancelled."""
        refusals: Counter[int] = Counter()
        while True:
            await asyncio.sleep(CHECK_S)
            for i, kit in enumerate(self._fleet.kits):
                refusals[i] = 0 if kit.gateway.is_ready else refusals[i] + 1
            self.listed = self.ready
            self.ready = [i for i in refusals if refusals[i] < CHECKS_TO_LEAVE]
            self.ready = self.ready or list(refusals)


class Row(NamedTuple):
    """Figures of one play.

    Attributes
    ----------
    first_second, later : float
        Share of first tries served at the cut entries, in the first second and later.
    tries : int
        First tries that reached the cut entries after the first second.
    others : float
        Share served at the other entries.
    failed : int
        First tries that failed at all entries during the cut.
    """

    first_second: float
    later: float
    tries: int
    others: float
    failed: int


async def play(way: str, cut: Cut, lost: int, entries: int) -> Row:
    """Play one cut of the first entries of a fleet."""
    async with ReachFleet.open(entries=entries, policy={"forwarding": WAYS[way]}) as fleet:
        if way == "refuses at once":
            for kit in fleet.kits:
                kit.gateway.reach.forwarder.forward = _refuse
        platform = Platform(fleet)
        checking = asyncio.ensure_future(platform.run())
        cut_off = tuple(range(lost))
        others = tuple(range(lost, entries))
        loop = asyncio.get_running_loop()
        asking = asyncio.ensure_future(_send(fleet, platform, loop.time() + CUT_S + 4.0))
        await asyncio.sleep(2.0)
        began = loop.time()
        await fleet.set_cut(cut, cut_off)
        await asyncio.sleep(CUT_S)
        await fleet.set_cut(None, cut_off)
        ended = loop.time()
        await asking
        await fleet.finish()
        checking.cancel()
        fleet.assert_rules_held()
        later = fleet.list_calls(cut_off, since=began + 1.0, until=ended)
        during = fleet.list_calls(range(entries), since=began, until=ended)
        return Row(
            fleet.find_served(cut_off, since=began, until=began + 1.0),
            sum(c.status == 200 for c in later) / max(1, len(later)),
            len(later),
            fleet.find_served(others, since=began, until=ended),
            sum(c.status != 200 for c in during),
        )


async def _send(fleet: ReachFleet, platform: Platform, until: float) -> None:
    """Send requests to listed entries."""
    while fleet.now() < until:
        await fleet.send_requests(per_s=PER_S, for_s=LIST_TTL_S / 4, entries=platform.listed)


async def _refuse(*_: object) -> RequestResult:
    """Refuse a request instead of forwarding it."""
    return RequestResult(503, "no target reached")


def build_row(cut: Cut, lost: int, way: str) -> list[object]:
    """Return the row of one play."""
    row = asyncio.run(play(way, cut, lost, ENTRIES))
    return [
        cut.value,
        f"{lost} of {ENTRIES}",
        way,
        f"{row.first_second:.2f}",
        f"{row.later:.3f}",
        row.tries,
        f"{row.others:.3f}",
        row.failed,
    ]


def main() -> None:
    """Run all plays and write the table."""
    cases = list(product((Cut.HANG, Cut.RESET, Cut.REFUSE_NEW), (ENTRIES // 2, ENTRIES - 1), WAYS))
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = list(pool.map(build_row, *zip(*cases, strict=True)))
    header = [
        "cut",
        "entries cut off",
        "way",
        "served there in the first second",
        "served there later",
        "first tries there later",
        "served at the others",
        "first tries that failed",
    ]
    write_result("unreached", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
