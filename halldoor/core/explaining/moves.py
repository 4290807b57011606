"""Report on when and why a region's requests moved to other regions, from gateways' log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from halldoor.core.explaining.history import LogLine

WINDOW_S = 2.0
"""Length of a window, in seconds: about that over which an entry compares its counts."""
MOVES_SHOWN = 12
"""Largest moves that are listed; the others are only counted."""


class Moved(NamedTuple):
    """A move of a region's requests in one window, summed up over the entries that logged it.

    Attributes
    ----------
    since_start_s : float
        Start of the window, in seconds since the entries started.
    origin : str
        Region whose requests moved; empty if the log lines don't name it.
    entries : int
        Number of entries that logged a move.
    before, after : dict of str to int
        Requests of these entries by the region that ran them, in the window before and in this one.
    reasons : dict of str to int
        Number of entries by the reason that moved most of their requests.
    versions : tuple of int
        Versions of the configuration that these entries used.
    oldest_ms : int
        Greatest age of their last contact with the store, in milliseconds.
    """

    since_start_s: float
    origin: str
    entries: int
    before: dict[str, int]
    after: dict[str, int]
    reasons: dict[str, int]
    versions: tuple[int, ...]
    oldest_ms: int

    @property
    def part(self) -> float:
        """Fraction of the requests that ran in another region than before."""
        before, after = sum(self.before.values()), sum(self.after.values())
        if not before or not after:
            return 0.0
        regions = self.before.keys() | self.after.keys()
        gained = (self.after.get(r, 0) / after - self.before.get(r, 0) / before for r in regions)
        return sum(max(0.0, gain) for gain in gained)


class MoveTable:
    """Collector of log lines about moves between regions."""

    def __init__(self) -> None:
        self._lines_by_window: defaultdict[tuple[float, str], list[LogLine]] = defaultdict(list)

    def add(self, line: LogLine, since_start_s: float) -> None:
        """Add a log line; lines that are not about a move are ignored."""
        if line.part == "flow" and line.text == "Moved between regions.":
            window = int(since_start_s / WINDOW_S) * WINDOW_S
            self._lines_by_window[(window, str(line.fields.get("origin", "")))].append(line)

    def list_moves(self) -> list[Moved]:
        """List the moves, those with most moved requests first."""
        moves = [_build_move(*key, lines) for key, lines in self._lines_by_window.items()]
        return sorted(moves, key=lambda move: -move.part * sum(move.after.values()))


def _build_move(since_start_s: float, origin: str, lines: list[LogLine]) -> Moved:
    """Sum up the lines of several entries about one window."""
    fields = [line.fields for line in lines]
    return Moved(
        since_start_s,
        origin,
        len({line.entry for line in lines}),
        _sum_counts(fields, "before"),
        _sum_counts(fields, "after"),
        dict(Counter(str(f.get("reason", "")) for f in fields).most_common()),
        tuple(sorted({int(f["version"]) for f in fields if "version" in f})),
        max(int(f.get("store_age_ms", 0)) for f in fields),
    )


def _sum_counts(fields: Iterable[dict[str, Any]], name: str) -> dict[str, int]:
    """Add up the counts by region in one field of several lines."""
    total: Counter[str] = Counter()
    for one in fields:
        total.update({str(region): int(n) for region, n in dict(one.get(name) or {}).items()})
    return dict(sorted(total.items()))


def describe_moves(moves: list[Moved]) -> list[str]:
    """Format moves as lines of text; empty if there are none."""
    if not moves:
        return []
    lines = ["", "Requests that moved to another region (at the entries that logged it):"]
    for move in moves[:MOVES_SHOWN]:
        reasons = ", ".join(f"{reason} {n}" for reason, n in move.reasons.items())
        lines.append(
            f"{move.since_start_s:08.1f}  {move.origin or '?'}: {move.part:.2f} moved at "
            f"{move.entries} entries ({reasons}); {_format_counts(move.before)} before, "
            f"{_format_counts(move.after)} after; version {'/'.join(map(str, move.versions))}, "
            f"last contact with the store up to {move.oldest_ms} ms ago"
        )
    left = len(moves) - MOVES_SHOWN
    return [*lines, f"{left:>8}  smaller ones"] if left > 0 else lines


def _format_counts(counts: dict[str, int]) -> str:
    """Format counts by region as text."""
    return " ".join(f"{region} {n}" for region, n in counts.items())
