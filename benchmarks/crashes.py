"""Ways for entries to detect together that a request crashes targets, in virtual time."""

from __future__ import annotations

from benchmarks.common import format_table, write_result
from halldoor.standins.crashfleet import CrashCounting, Faults, Fleet, Run
from halldoor.standins.crashways import (
    BroadcastCounting,
    Collectors,
    CollectorsAndRecord,
    LocalCounting,
    NoCounting,
    StoreCounting,
)

FLEETS = (10, 75, 300)
"""Numbers of entries."""
SEEDS = range(4)
"""Seeds of the runs; each row reports the worst run unless its column says otherwise."""
UNTIL_S = 12.0
"""Length of a run, in seconds."""
WAYS: dict[str, type[CrashCounting]] = {
    "no counting": NoCounting,
    "each entry's own crashes": LocalCounting,
    "broadcast to all entries": BroadcastCounting,
    "a record in the store": StoreCounting,
    "collectors": Collectors,
    "collectors, and a record": CollectorsAndRecord,
}
"""Ways to count crashes, by the name in the table."""
TROUBLES = {
    "none": Faults(),
    "0.2 of the messages lost": Faults(loss=0.2),
    "halls cut from each other": Faults(cut_s=(0.0, UNTIL_S)),
    "store away for 4 s": Faults(away_s=(0.0, 4.0)),
    "all restart after 1 s": Faults(restart_s=1.0),
}
"""Faults by the name in the table."""


def run_way(way: str, fleet: Fleet, trouble: Faults, seed: int) -> Run:
    """Run one way of counting crashes under a fault."""
    return Run(fleet, trouble, seed=seed).play(WAYS[way](), until_s=UNTIL_S)


def build_row(way: str, entries: int) -> list[object]:
    """Return the row of one way of counting crashes.

    Columns: requests sent too late under each fault, crashed targets, messages and store calls, and
    the effect on a healthy request that runs at targets that crash for other reasons.
    """
    fleet = Fleet(entries=entries)
    by_trouble = {n: [run_way(way, fleet, t, seed) for seed in SEEDS] for n, t in TROUBLES.items()}
    late = [max(run.count_late_sends() for run in runs) for runs in by_trouble.values()]
    calm = by_trouble["none"]
    rack = run_way(way, Fleet(entries=entries, bad_per_s=0.0, rack=500), Faults(), 0)
    popular = Fleet(entries=entries, bad_per_s=0.0, popular_per_s=8.0, ends_per_s=1.2)
    runs = [run_way(way, popular, Faults(), seed) for seed in SEEDS]
    asked = sum(run.served + run.refused + run.lost for run in runs)
    return [
        entries,
        way,
        *late,
        max(len(run.crash_times) for run in calm),
        max(run.messages for run in calm),
        max(run.store_calls for run in calm),
        f"{rack.messages}, {rack.store_calls}",
        f"{sum(run.served for run in runs) / asked:.2f}, {sum(run.refused for run in runs)}",
    ]


def main() -> None:
    """Run all measurements and write the table."""
    rows = [build_row(way, entries) for entries in FLEETS for way in WAYS]
    header = [
        "entries",
        "way",
        *(f"sent too late: {name}" for name in TROUBLES),
        "targets crashed, no trouble",
        "messages",
        "store calls",
        "messages, store calls where 500 different requests lose their targets at once",
        "healthy request whose targets crash for other reasons: served, refused",
    ]
    write_result("crashes", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
