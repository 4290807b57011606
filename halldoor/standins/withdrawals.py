"""Measure how long entries take to exclude a target after its record says drain or is removed.

In virtual time, with the product's own tasks: targets are withdrawn one after another while faults
are active, and each entry is checked until it would no longer send a request to the target.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from enum import Enum
from random import Random
from typing import NamedTuple

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.relay import RelaySettings
from halldoor.standins.modelnetwork import Delays
from halldoor.standins.storefaults import FAULTS, FaultContext
from halldoor.standins.storefleet import PAGE_ITEMS, SERVICE, StoreFleet, name_target

LEAD_S = 4.0
"""Time before a withdrawal from which faults are scheduled, in seconds."""
CHECKED_S = 6.0
"""Time after a withdrawal for which entries are checked, in seconds."""
RECOVERY_S = 8.0
"""Pause after a measurement, long enough for all faults to end, in seconds."""
PERIOD_S = 0.01
"""Interval at which entries are checked, in seconds."""
BATCH_SHARE = 0.4
"""Share of the bound for which an entry pauses after reading changes."""


class WithdrawalKind(Enum):
    """How a target is withdrawn."""

    DRAINING = "draining"
    REMOVAL = "removal"


class Deployment(NamedTuple):
    """Entries in each hall, regions, targets, and the bound in seconds for applying a change."""

    entries: Sequence[int]
    regions: int
    targets: int
    bound_s: float

    @property
    def name(self) -> str:
        """Name by the number of entries, for test ids and tables."""
        return f"{sum(self.entries)} entries"


LARGE = Deployment((9, 7, 8, 10, 6, 9, 8, 7, 10), regions=3, targets=450, bound_s=3.0)
SMALL = (
    Deployment((2, 2, 2), regions=3, targets=36, bound_s=2.0),
    Deployment((2, 2, 2, 2, 2), regions=3, targets=60, bound_s=2.0),
)


class ExclusionTimes(NamedTuple):
    """Times until entries excluded a withdrawn target, in seconds after the store's write.

    Attributes
    ----------
    in_touch, others : list of float
        Entries that no fault affected directly, and the others; infinite for an entry that did
        not exclude the target while checked.
    """

    in_touch: list[float]
    others: list[float]


def open_fleet(deployment: Deployment, seed: int, *, page_items: int = PAGE_ITEMS) -> StoreFleet:
    """Build the entries and the store of a deployment."""
    return StoreFleet(
        entries=deployment.entries,
        halls=len(deployment.entries),
        regions=deployment.regions,
        targets=deployment.targets,
        page_items=page_items,
        seed=seed,
        settings=RelaySettings(bound_s=deployment.bound_s),
        batch_s=BATCH_SHARE * deployment.bound_s,
        delays=Delays(0.0001, 0.0014, 0.035),
        answer_s=0.004,
        has_expiry=True,
    )


async def start_fleet(fleet: StoreFleet) -> None:
    """Start the entries, and wait until all have applied the configuration."""
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait_until_synchronized(1)
    # Entries that lost their reader during the start need this long to follow one again.
    await asyncio.sleep(1.2 * fleet.settings.direct_s)


async def measure_withdrawal(
    fleet: StoreFleet, number: int, kind: WithdrawalKind, faults: Sequence[str], random: Random
) -> ExclusionTimes:
    """Withdraw a target while faults are active; return the times until entries excluded it."""
    loop = asyncio.get_running_loop()
    context = FaultContext(fleet, random, set())
    moment = loop.time() + LEAD_S
    for fault in faults:
        FAULTS[fault].schedule(context, moment)
    await asyncio.sleep(LEAD_S)
    withdraw(fleet, number, kind)
    times = await measure_exclusion_times(fleet, name_target(number))
    await asyncio.sleep(RECOVERY_S)
    return ExclusionTimes(
        [time for port, time in times.items() if port not in context.victims],
        [time for port, time in times.items() if port in context.victims],
    )


def withdraw(fleet: StoreFleet, number: int, kind: WithdrawalKind) -> None:
    """Mark a target as draining in the store, or remove its record."""
    if kind is WithdrawalKind.DRAINING:
        fleet.write_target(number, fleet.find_hall(number), is_draining=True)
    else:
        fleet.remove_target(number)


async def measure_exclusion_times(
    fleet: StoreFleet, target: str, *, for_s: float = CHECKED_S
) -> dict[int, float]:
    """Check all entries for a time; return the time until each excluded a target for good."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    times = dict.fromkeys(fleet.entries, math.inf)
    seen: dict[int, tuple[Catalog, int, int]] = {}
    while loop.time() < began + for_s:
        for port, entry in fleet.entries.items():
            catalog = entry.catalog
            state = (catalog, catalog.version, len(catalog.lapsed))
            if seen.get(port) == state:
                continue
            seen[port] = state
            if not is_excluded(catalog, target):
                times[port] = math.inf
            elif times[port] == math.inf:
                times[port] = loop.time() - began
        await asyncio.sleep(PERIOD_S)
    return times


def is_excluded(catalog: Catalog, target: str) -> bool:
    """Check whether a target receives no requests, not even as a last resort."""
    usable = {t.name for t in catalog.list_usable(SERVICE)}
    return target not in usable and target not in catalog.lapsed
