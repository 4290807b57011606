"""Time from the store's word that a target drains or is gone until entries exclude it.

In virtual time, with the product's own tasks: one target after another is withdrawn while faults
act, and each entry is looked at until it no longer sends the target anything.
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
from halldoor.standins.storefaults import FAULTS, Scene
from halldoor.standins.storefleet import PAGE_ITEMS, SERVICE, StoreFleet, name_target

LEAD_S = 4.0
"""Time before a withdrawal in which faults begin, in seconds."""
WATCHED_S = 6.0
"""Time after a withdrawal for which entries are looked at, in seconds."""
RECOVERY_S = 8.0
"""Time between two withdrawals in which all faults end, in seconds."""
PERIOD_S = 0.01
"""Period at which entries are looked at, in seconds."""
BATCH_SHARE = 0.4
"""Part of the bound that an entry pauses after changes."""


class Way(Enum):
    """How a target is withdrawn."""

    DRAINING = "draining"
    REMOVAL = "removal"


class Deployment(NamedTuple):
    """Entries in each hall, and the time in which a change has to be in force, in seconds."""

    entries: Sequence[int]
    regions: int
    targets: int
    bound_s: float

    @property
    def name(self) -> str:
        """How many entries there are."""
        return f"{sum(self.entries)} entries"


GROWN = Deployment((9, 7, 8, 10, 6, 9, 8, 7, 10), regions=3, targets=450, bound_s=3.0)
SMALL = (
    Deployment((2, 2, 2), regions=3, targets=36, bound_s=2.0),
    Deployment((2, 2, 2, 2, 2), regions=3, targets=60, bound_s=2.0),
)


class Times(NamedTuple):
    """When entries excluded a withdrawn target, in seconds after the store took the record.

    Attributes
    ----------
    in_touch, others : list of float
        Entries without and with a fault of their own; infinite where one never did.
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


async def start(fleet: StoreFleet) -> None:
    """Start the entries, and wait until all are in step."""
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait(1)
    # Until those that lost their reader at the start follow one again.
    await asyncio.sleep(1.2 * fleet.settings.direct_s)


async def measure(
    fleet: StoreFleet, number: int, way: Way, faults: Sequence[str], random: Random
) -> Times:
    """Withdraw a target while faults act, and return when entries excluded it."""
    loop = asyncio.get_running_loop()
    scene = Scene(fleet, random, set())
    moment = loop.time() + LEAD_S
    for fault in faults:
        FAULTS[fault].schedule(scene, moment)
    await asyncio.sleep(LEAD_S)
    withdraw(fleet, number, way)
    times = await watch_exclusion(fleet, name_target(number))
    await asyncio.sleep(RECOVERY_S)
    return Times(
        [time for port, time in times.items() if port not in scene.victims],
        [time for port, time in times.items() if port in scene.victims],
    )


def withdraw(fleet: StoreFleet, number: int, way: Way) -> None:
    """Let the store take the record that a target drains, or its removal."""
    if way is Way.DRAINING:
        fleet.write_target(number, fleet.find_hall(number), is_draining=True)
    else:
        fleet.remove_target(number)


async def watch_exclusion(
    fleet: StoreFleet, target: str, *, for_s: float = WATCHED_S
) -> dict[int, float]:
    """Look at all entries for a time, and return when each excluded a target for good."""
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
            if not excludes(catalog, target):
                times[port] = math.inf
            elif times[port] == math.inf:
                times[port] = loop.time() - began
        await asyncio.sleep(PERIOD_S)
    return times


def excludes(catalog: Catalog, target: str) -> bool:
    """Check whether nothing is sent to a target, not even as a last resort."""
    usable = {t.name for t in catalog.list_usable(SERVICE)}
    return target not in usable and target not in catalog.lapsed
