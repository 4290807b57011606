"""Calls to the store, and time until all entries are up to date, when all read everything."""

from __future__ import annotations

import asyncio
import time

from benchmarks.common import format_table, write_result
from halldoor.standins.storefleet import StoreFleet
from halldoor.standins.virtualtime import run

FLEETS = ((12, 6), (75, 6), (300, 6), (830, 30))
"""Pairs of numbers of entries and halls."""
TARGETS_AN_ENTRY = 6
WINDOW_S = 3.0
"""Time over which calls are counted, in seconds."""
HEADER = [
    "entries, halls",
    "what",
    "ranges",
    "watches",
    "leases and writes",
    "renewals",
    "all in step after, s",
    "MB between entries",
]


async def measure(entries: int, halls: int) -> list[list[object]]:
    """Return the rows for a fleet: first start, no event, restored store, and restart of all."""
    fleet = StoreFleet(entries=entries, halls=halls, targets=TARGETS_AN_ENTRY * entries)
    fleet.configure(1)
    rows = []
    now = asyncio.get_running_loop().time

    async def add_row(what: str, version: int, began: float, bytes_before: int) -> None:
        """Wait until all are up to date, and add the row with the calls within `WINDOW_S`."""
        took_s = await fleet.wait_until_synchronized(version) + now() - began if what else 0.0
        took_s = now() - began
        await asyncio.sleep(max(0.0, began + WINDOW_S - now()))
        calls = fleet.count_calls(began, began + WINDOW_S)
        rows.append(
            [
                f"{entries}, {halls}",
                what,
                calls["range"],
                calls["watch"],
                calls["lease"] + calls["write"],
                calls["renewal"],
                f"{took_s:.2f}",
                f"{(fleet.answer_bytes - bytes_before) / 1e6:.1f}",
            ]
        )
        await asyncio.sleep(10.0)

    began = now()
    await fleet.start(within_s=0.5)
    await add_row("first start", 1, began, 0)
    copy = fleet.store.copy()
    began, handed = now(), fleet.answer_bytes
    await add_row("nothing", 1, began, handed)
    fleet.configure(2)
    await asyncio.sleep(5.0)
    handed = fleet.answer_bytes
    fleet.store.take_down()
    await asyncio.sleep(0.5)
    began = now()
    fleet.store.restore(copy)
    fleet.store.is_down = False
    fleet.configure(3)
    await add_row("store restored", 3, began, handed)
    began, handed = now(), fleet.answer_bytes
    await fleet.start(within_s=0.5)
    await add_row("all start again", 3, began, handed)
    fleet.stop()
    return rows


def main() -> None:
    """Run all measurements and write the table."""
    rows: list[list[object]] = []

    async def measure_all() -> None:
        """Measure every fleet, and print the processor time that it took."""
        for entries, halls in FLEETS:
            began = time.process_time()
            rows.extend(await measure(entries, halls))
            print(f"{entries} entries: {time.process_time() - began:.1f} s of processor time")

    run(measure_all())
    write_result("restarts", __doc__ or "", format_table(HEADER, rows))


if __name__ == "__main__":
    main()
