"""Cost of an order: latency with a ticket and with the caller's id, and platform writes."""

from __future__ import annotations

import threading
import time
import uuid
from itertools import count

import msgspec

from benchmarks.common import format_table, get_percentile, run_callers, write_result
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration

SECONDS = 5.0
"""Length of each measurement."""
ORDER = "/s/decks/order"
_numbers = count(1)
_lock = threading.Lock()


def make_id() -> str:
    """Build a unique UUID of version 7, as an operation id."""
    with _lock:
        number = next(_numbers)
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


def main() -> None:
    """Run all measurements and write the table."""
    rows = []
    for callers in (1, 8, 24):
        for kind in ("read", "ticket", "own id"):
            with Fleet.open() as fleet:
                rows.append(_measure(fleet, kind, callers))
    head = ["what", "callers", "per s", "median ms", "p99 ms", "platform writes per order"]
    note = (
        "An order by ticket is two calls (the ticket, then the order), both within the time given. "
        "Targets answer at once (work_s=0)."
    )
    write_result("orders", "Cost of an order", format_table(head, rows), note)


def _measure(fleet: Fleet, kind: str, callers: int) -> list[object]:
    """Return the row for one kind of request and number of callers, with two entries."""
    configuration = make_configuration(halls={"a1": 2}, targets=4)
    fleet.start_platform()
    fleet.apply(configuration)
    fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
    for name in ("a1-e1", "a1-e2"):
        fleet.start_entry(name)
    fleet.wait_ready("a1-e1", "a1-e2")
    before = _count_writes(fleet)

    def call(number: int) -> float:
        """Send one read or order of a caller, and return its time in seconds."""
        entry = f"a1-e{number % 2 + 1}"
        started = time.perf_counter()
        if kind == "read":
            fleet.call(entry, "/s/decks/read/x?work_s=0")
        else:
            headers = {"Operation-Id": make_id()}
            if kind == "ticket":
                headers = {"Halldoor-Ticket": fleet.get_ticket(entry)}
            fleet.call(entry, f"{ORDER}?work_s=0", method="POST", body=b"order", headers=headers)
        return time.perf_counter() - started

    times = run_callers(call, callers=callers, seconds=SECONDS)
    writes = (_count_writes(fleet) - before) / len(times) if kind != "read" else 0.0
    return [
        kind,
        callers,
        len(times) / SECONDS,
        get_percentile(times, 0.5) * 1000,
        get_percentile(times, 0.99) * 1000,
        writes,
    ]


def _count_writes(fleet: Fleet) -> int:
    """Return the number of writes that the platform has received."""
    stats = fleet.http.request("GET", f"{fleet.platform_url}/stats")
    return int(msgspec.json.decode(stats.data).get("PUT kv", 0))


if __name__ == "__main__":
    main()
