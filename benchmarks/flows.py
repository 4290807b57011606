"""Share of a region's requests that moves to another region within 2 s, in virtual time."""

from __future__ import annotations

from typing import Any

from benchmarks.common import format_table, write_result
from benchmarks.replay import override_settings
from halldoor.standins.moves import find_largest_move
from halldoor.standins.patterns import RETURN, RETURN_REGION
from halldoor.standins.replay import Replay

SEEDS = (1, 2, 3, 4)
CAUSES = {
    "a hall of two is taken back cold": RETURN,
    "both halls of a region are": RETURN_REGION,
}
"""Load patterns, by the event that makes requests move to another region."""
WAYS: dict[str, dict[str, Any]] = {
    "as it is": {},
    "the region's share at any speed": {"max_shift": 1e9},
    "one target a key": {"spill_choices": 1},
}
"""Changed settings of the choice of targets, by the name in the table."""


def main() -> None:
    """Run every pattern with all settings, and write the table.

    Runs of all seeds are added up, because in a single run chance also moves requests.
    """
    rows: list[list[object]] = []
    for cause, pattern in CAUSES.items():
        for way, settings in WAYS.items():
            tallies = [
                Replay(pattern, seed=seed, adapt=override_settings(settings)).run()
                for seed in SEEDS
            ]
            runs = [run for tally in tallies for run in tally.runs]
            moved = [find_largest_move(runs, origin, pattern).part for origin in ("ams", "grq")]
            in_aim = sum(tally.share_in_aim() for tally in tallies) / len(tallies)
            refused = sum(tally.counts["refused"] for tally in tallies) / len(tallies)
            rows.append([cause, way, *moved, in_aim, refused])
    head = ["cause", "way", "moved of the region", "of the smallest", "in time", "refused"]
    title = f"Greatest part that changes its region within 2 s, {len(SEEDS)} plays summed up"
    write_result("flows", title, format_table(head, rows))


if __name__ == "__main__":
    main()
