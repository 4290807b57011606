"""Ways to enforce teams' quotas over all entries together, in virtual time."""

from __future__ import annotations

from benchmarks.common import format_table, write_result
from halldoor.core.teams.team import TeamLimit
from halldoor.standins.quotafleet import (
    MESSAGE_BYTES,
    CollectorShares,
    DemandShares,
    EqualShares,
    Faults,
    HomeTokens,
    QuotaStrategy,
    Run,
)

FLEETS = (12, 75, 300)
"""Numbers of entries."""
RATES = (6.0, 60.0, 174.0)
"""Rates a second, and equal bursts, of a small, a medium and the largest of 80 teams."""
USUAL_SHARE = 0.6
"""Usual load of a team, as a share of its rate."""
PATTERNS = {
    "usual": (1.0, None),
    "callers on few entries": (1.0, 0.1),
    "7.5 times the usual for 7 s": (7.5, None),
}
"""Load patterns: factor of the surge, and share of the entries that most callers use; None for
equal use of all."""
WAYS: dict[str, type[QuotaStrategy]] = {
    "equal parts": EqualShares,
    "parts by demand": DemandShares,
    "tokens of a home entry": HomeTokens,
    "shares of a collector": CollectorShares,
}
"""Ways to enforce quotas, by the name in the table."""
UNTIL_S = 14.0
"""Length of a run, in seconds."""


def run_team(way: type[QuotaStrategy], entries: int, rate: float, pattern: str, seed: int) -> Run:
    """Simulate the requests of one team under a load pattern, with one way to enforce its quota."""
    factor, used_share = PATTERNS[pattern]
    weights = None
    if used_share is not None:
        few = max(1, round(used_share * entries))
        weights = [20.0] * few + [0.1] * (entries - few)
    run = Run(entries, TeamLimit(rate, rate), Faults(), seed=seed)
    return run.play(
        way(),
        lambda now: USUAL_SHARE * rate * (factor if 3.0 <= now < 10.0 else 1.0),
        until_s=UNTIL_S,
        weights=weights,
    )


def build_row(name: str, entries: int, pattern: str) -> list[object]:
    """Return the row of one way to enforce quotas.

    Columns: the most admitted in any window of 5 s relative to the bound, the share admitted of the
    requests that the quota allows, by team, and the traffic.
    """
    runs = [run_team(WAYS[name], entries, rate, pattern, seed) for seed, rate in enumerate(RATES)]
    worst = max(run.find_worst_window() / run.bound for run in runs)
    admitted = [f"{len(run.admitted) / run.count_allowed():.2f}" for run in runs]
    rate_kb = max(run.messages for run in runs) * MESSAGE_BYTES / entries / UNTIL_S / 1000
    return [entries, pattern, name, f"{worst:.2f}", " ".join(admitted), f"{rate_kb:.2f}"]


def main() -> None:
    """Run all measurements and write the table."""
    rows = [build_row(w, n, p) for n in FLEETS for p in PATTERNS for w in WAYS]
    header = [
        "entries",
        "load",
        "way",
        "worst 5 s over the bound",
        f"admitted of allowed, teams of {', '.join(f'{r:g}' for r in RATES)} a second",
        "KB/s an entry, one team, both directions",
    ]
    write_result("quotas", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
