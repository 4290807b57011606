"""Ways to divide a target's rate among all entries, in virtual time."""

from __future__ import annotations

from benchmarks.common import format_table, write_result
from halldoor.standins.ratefleet import (
    Bound,
    EqualBuckets,
    Faults,
    HomeGrants,
    RankedShares,
    RateStrategy,
    Run,
    SteadyRankedShares,
)

FLEETS = (10, 75, 300)
"""Numbers of entries."""
SEEDS = range(4)
"""Seeds of the runs; each row reports the worst run unless its column says otherwise."""
ASKED_PER_S = 30.0
"""Requests a second that would be sent to the target without a limit."""
BOUNDS = {
    "cold, 11 of 18.5 a second": Bound(11.0, 1.0, 18.5, 1.0),
    "named limit of 6.5 a second": Bound(6.5, 4.0, 1.5 * 6.5 * 4 + 5, 2.0),
    "named limit of 0.5 a second": Bound(0.5, 4.0, 1.5 * 0.5 * 4 + 5, 2.0),
}
"""Rate limits by the name in the table."""
TROUBLES = {
    "none": Faults(),
    "half without the store": Faults(cut_share=0.5),
    "nine tenths without the store": Faults(cut_share=0.9),
    "half isolated": Faults(cut_share=0.5, is_isolated=True),
    "nine tenths isolated": Faults(cut_share=0.9, is_isolated=True),
    "a fifth of the messages lost": Faults(loss=0.2),
    "all restart": Faults(restart_s=6.0),
}
"""Faults by the name in the table."""
WAYS: dict[str, type[RateStrategy]] = {
    "equal token buckets": EqualBuckets,
    "grants of a home entry": HomeGrants,
    "ranked shares": RankedShares,
    "ranked shares, lapsed entries counted": SteadyRankedShares,
}
"""Ways to divide the rate, by the name in the table."""


def build_row(bound: str, entries: int, trouble: str, way: str) -> list[object]:
    """Return the row of one way to divide a rate, with the worst window of the seeds.

    Further columns have the mean share of the rate that was used, by connected entries and by
    entries that were cut off.
    """
    runs = [
        Run(entries, BOUNDS[bound], TROUBLES[trouble], asked_per_s=ASKED_PER_S, seed=seed).play(
            WAYS[way]()
        )
        for seed in SEEDS
    ]
    worst = max(run.find_worst_window() / run.bound.allowed for run in runs)
    used, cut_used = (
        sum(run.compute_used_share(is_cut=is_cut) for run in runs) / len(runs)
        for is_cut in (False, True)
    )
    messages = max(run.messages for run in runs)
    cut_text = f"{cut_used:.2f}" if TROUBLES[trouble].cut_share else ""
    return [bound, entries, trouble, way, f"{worst:.2f}", f"{used:.2f}", cut_text, messages]


def main() -> None:
    """Run all measurements and write the table."""
    rows = [build_row(b, n, t, w) for b in BOUNDS for n in FLEETS for t in TROUBLES for w in WAYS]
    header = [
        "bound",
        "entries",
        "trouble",
        "way",
        "worst window over what is allowed",
        "used by entries in contact",
        "used by entries that are cut off",
        "messages in 15 s",
    ]
    write_result("rates", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
