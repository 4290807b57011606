"""Effect of each mechanism of the choice of targets under load patterns, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from benchmarks.common import format_table, write_result
from halldoor.core.targets import load
from halldoor.core.targets.load import DecayTimes
from halldoor.standins.patterns import PATTERNS, Pattern
from halldoor.standins.replay import ModelEntry, Replay, Tally

SEEDS = (1, 2, 3)
WARM_UP_S = 6.0
"""Seconds at the start that the column "after 6 s" leaves out, since keys are cold then."""
POLICIES: dict[str, dict[str, Any]] = {
    "as it is": {},
    "no preference of the own region": {"region_fill": 0.0, "near_region_fill": 0.0},
    "the own region by 1.33 times its room": {"near_region_fill": 1.33, "most_local": 0.82},
    "one target a key": {"spill_choices": 1},
    "no limit of waits": {"wait_limit": 0.0},
}
"""Changed settings of the choice of targets, by the name in the table."""
FIXED_DECAY = "reports fade in 0.2 s and 3 s"
"""Name of the policy with fixed decay times of load reports, which no setting can select."""


def override_settings(settings: dict[str, Any]) -> Callable[[ModelEntry], None]:
    """Return a function that overrides settings of an entry's choice of targets."""

    def adapt(entry: ModelEntry) -> None:
        """Override the settings of one entry."""
        entry.chooser.settings = entry.chooser.settings._replace(**settings)

    return adapt


def run_seeds(pattern: Pattern, settings: dict[str, Any]) -> list[Tally]:
    """Run a load pattern once with each seed."""
    return [Replay(pattern, seed=seed, adapt=override_settings(settings)).run() for seed in SEEDS]


def build_row(what: str, policy: str, tallies: list[Tally]) -> list[object]:
    """Return the row of one policy, with means over the seeds."""

    def average(read: Callable[[Tally], float]) -> float:
        """Return the mean of a figure over the seeds."""
        return sum(map(read, tallies)) / len(tallies)

    return [
        what,
        policy,
        average(lambda t: t.share_in_aim()),
        average(lambda t: t.share_in_aim(WARM_UP_S)),
        average(lambda t: t.share_of_hall("ams-a")),
        average(lambda t: t.counts["refused"]),
        average(lambda t: t.counts["cold"]),
        average(lambda t: t.counts["far"]),
    ]


def main() -> None:
    """Run every load pattern with every policy, and write the table."""
    rows = []
    for what, pattern in PATTERNS.items():
        for policy, settings in POLICIES.items():
            rows.append(build_row(what, policy, run_seeds(pattern, settings)))
        with mock.patch.object(load.DecayTimes, "from_pace", lambda **_: DecayTimes()):
            rows.append(build_row(what, FIXED_DECAY, run_seeds(pattern, {})))
    head = ["pattern", "policy", "in time", "after 6 s", "of ams", "refused", "cold", "far"]
    title = f"Load patterns in virtual time, mean of {len(SEEDS)} seeds"
    write_result("replay", title, format_table(head, rows))


if __name__ == "__main__":
    main()
