"""Calls to the store by kind while target records change, by size of the halls, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from itertools import product
from random import Random

from benchmarks.common import format_table, write_result
from halldoor.core.targets.relay import RelaySettings
from halldoor.standins.modelnetwork import Delays
from halldoor.standins.storefleet import StoreFleet
from halldoor.standins.virtualtime import run

FLEETS = ((2,) * 5, (3,) * 6, (4,) * 6, (5, 6, 6, 6, 6, 6), (8,) * 6)
"""Entries of each hall; the fourth is the first deployment of docs/design/overload.md."""
TARGETS = 390
RATES = (10.0, 0.5)
"""Changes of target records a second, at random intervals."""
WINDOW_S = 40.0
"""Time over which calls are counted, in seconds."""
REGIONS = 3
DELAYS = Delays(0.0001, 0.0014, 0.012)
"""One-way delays of messages, in seconds: a round trip between regions takes 24 ms."""
RENEWAL_PRICE = 0.1
"""Price of a renewal of a lease, as part of that of another call."""
KINDS = ("watch", "range", "lease", "write", "renewal")
BOUNDS_S = (2.0, 3.0)
"""Shortest times within which a change has to be in force, in seconds."""
CONFIGURATIONS = (0, 10)
"""Versions of the configuration that are written within the window."""
HEADER = [
    "entries in halls",
    "bound, s",
    "changes a second",
    "configurations",
    *KINDS,
    "price a second",
    "configuration in force everywhere after, s, at most",
]


async def change_targets(
    fleet: StoreFleet, until: float, random: Random, rate_per_s: float = RATES[0]
) -> None:
    """Write records of random targets, each with another number of slots, until a time."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        number = random.randrange(fleet.targets)
        fleet.write_target(number, fleet.find_hall(number), slots=random.randint(2, 9))
        await asyncio.sleep(random.expovariate(rate_per_s))


async def measure(
    entries: Sequence[int], *, bound_s: float, rate_per_s: float, configurations: int
) -> tuple[Counter[str], float]:
    """Return the calls within `WINDOW_S` by kind, and the longest time of a configuration."""
    settings = RelaySettings(bound_s=bound_s)
    fleet = StoreFleet(
        entries=entries,
        halls=len(entries),
        regions=REGIONS,
        targets=TARGETS,
        settings=settings,
        batch_s=settings.own_pause_s,
        delays=DELAYS,
        has_expiry=True,
    )
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait_until_synchronized(1)
    loop = asyncio.get_running_loop()
    began = loop.time() + 2 * settings.direct_s
    writing = change_targets(fleet, began + WINDOW_S, Random(1), rate_per_s)
    writes = asyncio.ensure_future(writing)
    await asyncio.sleep(2 * settings.direct_s)
    most_s = 0.0
    for version in range(2, 2 + configurations):
        fleet.configure(version)
        took_s = await fleet.wait_until_synchronized(version)
        most_s = max(most_s, took_s)
        # Versions meet the entries' periods at different phases.
        await asyncio.sleep(max(0.0, 0.97 * WINDOW_S / configurations - took_s))
    await writes
    calls = fleet.count_calls(began, began + WINDOW_S)
    fleet.stop()
    return calls, most_s


def compute_price(calls: Counter[str], length_s: float = WINDOW_S) -> float:
    """Return the price of calls a second, in calls."""
    total = sum(n * (RENEWAL_PRICE if kind == "renewal" else 1) for kind, n in calls.items())
    return total / length_s


async def build_row(
    entries: Sequence[int], bound_s: float, rate_per_s: float, configurations: int
) -> list[object]:
    """Measure a fleet, and return its row of the table."""
    calls, most_s = await measure(
        entries, bound_s=bound_s, rate_per_s=rate_per_s, configurations=configurations
    )
    return [
        f"{sum(entries)} in {len(entries)}",
        f"{bound_s:.1f}",
        rate_per_s,
        configurations,
        *(calls[kind] for kind in KINDS),
        f"{compute_price(calls):.1f}",
        f"{most_s:.2f}",
    ]


def main() -> None:
    """Run all measurements and write the table."""
    rows: list[list[object]] = []

    async def measure_all() -> None:
        """Measure every fleet at each bound, rate of changes and number of configurations."""
        for case in product(FLEETS, BOUNDS_S, RATES, CONFIGURATIONS):
            rows.append(await build_row(*case))

    run(measure_all())
    write_result("storecalls", __doc__ or "", format_table(HEADER, rows))


if __name__ == "__main__":
    main()
