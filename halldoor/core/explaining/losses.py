"""Periods in which entries reached no target, from gateways' log lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from halldoor.core.explaining.history import LogLine

LOST = "No target can be reached."
RETURNED = "Targets can be reached again."
CAUSES_SHOWN = 3
"""Most frequent causes that are listed for a period."""


class UnreachedPeriod(NamedTuple):
    """A period in which an entry reached no target.

    Attributes
    ----------
    began_s : float
        Its begin, in seconds since the entry's start.
    for_s : float or None
        Its length, in seconds; None if the log ends before it.
    causes : tuple of (str, int)
        Causes of the failures with the number of targets, the most frequent first.
    """

    entry: str
    began_s: float
    for_s: float | None
    causes: tuple[tuple[str, int], ...]


class UnreachedTable:
    """Collects the periods from log lines in the order of each entry."""

    def __init__(self) -> None:
        self._periods: list[UnreachedPeriod] = []
        self._open: dict[str, int] = {}

    def add(self, line: LogLine, since_start_s: float) -> None:
        """Add a log line; lines of other parts are skipped."""
        if line.part != "reach":
            return
        if line.text == LOST:
            began_s = since_start_s - float(line.fields.get("since_ms", 0)) / 1000
            causes = Counter(dict(line.fields.get("causes") or {}).values())
            self._open[line.entry] = len(self._periods)
            self._periods.append(
                UnreachedPeriod(line.entry, began_s, None, tuple(causes.most_common(CAUSES_SHOWN)))
            )
        elif line.text == RETURNED and line.entry in self._open:
            i = self._open.pop(line.entry)
            self._periods[i] = self._periods[i]._replace(for_s=float(line.fields.get("for_s", 0.0)))

    def list_periods(self) -> list[UnreachedPeriod]:
        """Return the periods by entry and time."""
        return sorted(self._periods, key=lambda period: period[:2])


def describe_unreached(periods: Sequence[UnreachedPeriod]) -> list[str]:
    """Format the periods as lines of text; empty if there are none."""
    if not periods:
        return []
    lines = ["", "Entries that reached no target (seconds since the entry's start):"]
    for period in periods:
        length = "not over" if period.for_s is None else f"for {period.for_s:.2f}"
        causes = ", ".join(f"{cause} {count}" for cause, count in period.causes)
        lines.append(f"{period.began_s:>8.1f}  {period.entry}: {length}; {causes}")
    return lines
