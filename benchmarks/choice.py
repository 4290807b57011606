"""Processor time of choosing a target for a request, with and without a cached order of targets."""

from __future__ import annotations

import time
from collections.abc import Callable

from benchmarks.common import format_table, write_result
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import TargetSeen
from halldoor.tests.choicekit import ChooserKit, make_catalog, make_route, make_target

FLEETS = (60, 200, 400)
"""Numbers of targets of the service."""
ROUNDS = 7
"""Rounds, of which the fastest is reported: other load on the machine only adds time."""
KEYS = 50
"""Affinity keys in a round."""


def time_rounds(prepare: Callable[[], None], work: Callable[[], None]) -> float:
    """Return the processor time of ``work`` in ms for each key, in the fastest round.

    ``prepare`` runs before each round and is not timed.
    """
    best = float("inf")
    for _ in range(ROUNDS):
        prepare()
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best / KEYS * 1000


def measure(targets: int) -> list[object]:
    """Return the row for a number of targets.

    A key's first choice after a change of targets builds its order of targets; later choices use
    the cached order.
    """
    catalog = make_catalog(targets)
    chooser = ChooserKit(catalog)
    route = make_route()

    def change() -> None:
        """Discard the cached orders before a round."""
        _change_slots(catalog)

    def choose_all() -> None:
        """Choose a target once for each key."""
        for i in range(KEYS):
            chooser.choose(route, "deck", f"k{i}", 1.0)

    new_ms = time_rounds(change, choose_all)
    known_ms = time_rounds(lambda: None, choose_all)
    return [targets, f"{new_ms:.3f}", f"{known_ms:.3f}"]


def _change_slots(catalog: Catalog) -> None:
    """Change the slots of one target, so that every key's order of targets is rebuilt."""
    record = make_target("t0", hall="grq-a")
    known = catalog.find_target("t0")
    slots = 5 if known is not None and known.record.slots == 6 else 6
    catalog.apply(TargetSeen(record._replace(slots=slots)), 1.0)


def main() -> None:
    """Run all measurements and write the table."""
    rows = [measure(targets) for targets in FLEETS]
    header = ["targets", "after a change of targets, ms", "known key, ms"]
    write_result("choice", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
