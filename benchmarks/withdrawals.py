"""Time from the store's record that a target drains or is removed until all entries exclude it."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from random import Random

from benchmarks.common import format_table, get_percentile, write_result
from halldoor.standins.storefaults import FAULTS
from halldoor.standins.virtualtime import run
from halldoor.standins.withdrawals import (
    LARGE,
    SMALL,
    Deployment,
    ExclusionTimes,
    WithdrawalKind,
    measure_withdrawal,
    open_fleet,
    start_fleet,
)

SEEDS = 4
"""Withdrawals of each kind with each combination of faults."""
WORKERS = 2
"""Processes that run combinations of faults at the same time."""
TRAVEL_S = 0.3
"""Part of the bound reserved for connecting and network delay, in seconds."""
HEADER = [
    "entries",
    "faults",
    "draining: first, median, p99, last, s",
    "removal: first, median, p99, last, s",
    "with a fault of their own: last, s",
    "bound, s",
    "over",
]
NOTE = f"""Entries in touch: without a fault of their own. Each row: {SEEDS} withdrawals by a record
that says that the target drains, and {SEEDS} by the removal of its record, at random moments of the
faults (`halldoor/standins/storefaults.py`). "inf": not within 6 s. "over": the last entry in touch
excluded the target later than the bound less {TRAVEL_S} s for connecting and travelling. A target
that is kept as a last resort isn't excluded."""


def list_faults() -> Iterator[tuple[str, ...]]:
    """Yield the combinations of at most two faults, starting with none."""
    for count in range(3):
        yield from itertools.combinations(FAULTS, count)


def measure_faults(
    deployment: Deployment, faults: Sequence[str]
) -> dict[WithdrawalKind, ExclusionTimes]:
    """Measure withdrawals of each kind while some faults are active."""
    times = {way: ExclusionTimes([], []) for way in WithdrawalKind}

    async def measure_all() -> None:
        """Start a fleet, and withdraw one target after the other."""
        fleet = open_fleet(deployment, seed=1)
        await start_fleet(fleet)
        for number, (seed, way) in enumerate(itertools.product(range(SEEDS), WithdrawalKind)):
            random = Random(f"{seed} {way.value} {faults}")
            measured = await measure_withdrawal(fleet, number, way, faults, random)
            times[way] = ExclusionTimes(
                times[way].in_touch + measured.in_touch, times[way].others + measured.others
            )
        fleet.stop()
        await asyncio.sleep(0.1)

    run(measure_all())
    return times


def build_row(deployment: Deployment, faults: Sequence[str]) -> list[object]:
    """Return the row of a combination of faults."""
    times = measure_faults(deployment, faults)
    last = max(max(t.in_touch) for t in times.values())
    others = [time for t in times.values() for time in t.others]
    return [
        sum(deployment.entries),
        ", ".join(faults) or "none",
        *(_format(times[way].in_touch) for way in WithdrawalKind),
        f"{max(others):.2f}" if others else "",
        deployment.bound_s,
        "over" if last > deployment.bound_s - TRAVEL_S else "",
    ]


def _format(times: list[float]) -> str:
    """Format the first, the median, the 99th percentile and the last of some times."""
    values = (min(times), get_percentile(times, 0.5), get_percentile(times, 0.99), max(times))
    return ", ".join(f"{value:.2f}" for value in values)


def main() -> None:
    """Run all measurements and write the table.

    With faults as arguments, run only the combinations that have all of them, and only print them.
    """
    wanted = set(sys.argv[1:])
    cases = [
        (deployment, faults)
        for deployment in (LARGE, *SMALL)
        for faults in list_faults()
        if wanted <= set(faults)
    ]
    began = time.monotonic()
    rows = []
    with ProcessPoolExecutor(WORKERS) as pool:
        for row in pool.map(build_row, *zip(*cases, strict=True)):
            rows.append(row)
            print(*row, sep=" | ", flush=True)
    print(f"{len(rows)} rows in {time.monotonic() - began:.0f} s")
    if wanted:
        print(format_table(HEADER, rows))
    else:
        write_result("withdrawals", __doc__ or "", format_table(HEADER, rows), NOTE)


if __name__ == "__main__":
    main()
