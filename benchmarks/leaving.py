"""Ways for entries to learn that a target leaves while the store is away, in virtual time."""

from __future__ import annotations

from benchmarks.common import format_table, write_result
from halldoor.standins.leavingways import (
    LEAVES_S,
    ForwardedNotices,
    NotifiedEntries,
    OwnAnswers,
)
from halldoor.standins.ratefleet import Bound, Faults, RateStrategy, Run

FLEETS = (10, 75, 300)
"""Numbers of entries."""
SEEDS = range(4)
"""Seeds of the runs; each row reports the worst run unless its column says otherwise."""
UNTIL_S = 30.0
"""Length of a run, in seconds."""
BOUND_S = 2.0
"""Time after the target's first statement from which a request counts as late, in seconds."""
ASKED_PER_S = {"busy target": 30.0, "seldom used target": 6.0}
"""Requests a second for the target, over all entries."""
TROUBLES = {
    "none": Faults(),
    "half isolated": Faults(cut_share=0.5, is_isolated=True, cut_to_s=UNTIL_S),
    "a fifth of the messages lost": Faults(loss=0.2),
    "nine tenths of the messages lost": Faults(loss=0.9),
    "all restart": Faults(restart_s=8.0),
}
"""Faults by the name in the table."""
WAYS: dict[str, type[RateStrategy]] = {
    "own answers": OwnAnswers,
    "notices": NotifiedEntries,
    "notices, passed on": ForwardedNotices,
}
"""Ways to learn that a target leaves, by the name in the table."""


def build_row(load: str, entries: int, trouble: str, way: str) -> list[object]:
    """Return the row of one way to learn that a target leaves, with the worst of the seeds."""
    bound = Bound(ASKED_PER_S[load], 1.0, 0.0, 1.0)
    runs = [
        Run(entries, bound, TROUBLES[trouble], asked_per_s=ASKED_PER_S[load], seed=seed).play(
            WAYS[way](), until_s=UNTIL_S
        )
        for seed in SEEDS
    ]
    late = max(sum(at >= LEAVES_S + BOUND_S for at, _ in run.sent) for run in runs)
    last_s = max(run.sent[-1][0] - LEAVES_S for run in runs)
    return [load, entries, trouble, way, late, f"{last_s:.1f}", max(r.messages for r in runs)]


def main() -> None:
    """Run all measurements and write the table."""
    rows = [
        build_row(load, entries, trouble, way)
        for load in ASKED_PER_S
        for entries in FLEETS
        for trouble in TROUBLES
        for way in WAYS
    ]
    header = [
        "load",
        "entries",
        "trouble",
        "way",
        f"requests over {BOUND_S:.0f} s after the first statement",
        "last request after it, in seconds",
        "messages",
    ]
    write_result("leaving", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
