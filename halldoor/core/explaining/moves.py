"""Find from gateways' log lines when a region's requests went to other regions, and why."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from halldoor.core.explaining.history import LogLine

WINDOW_S = 2.0
"""Length of a window, in seconds: about that in which an entry compares."""
MOVES_SHOWN = 12
"""Moves that are listed, the greatest; the rest is counted."""


class Moved(NamedTuple):
    """What the entries of a region told of one window.

    Attributes
    ----------
    since_start_s : float
        Begin of the window, in seconds since the entries' starts.
    origin : str
        Region whose requests moved; empty where the lines don't name it.
    entries : int
        Entries that told of a move.
    before, after : dict of str to int
        Requests of these entries by region of execution, in the window before and in this one.
    reasons : dict of str to int
        Entries by the reason that moved most of their requests.
    versions : tuple of int
        Versions of the configuration that they went by.
    oldest_ms : int
        Greatest age of what they knew of the store, in milliseconds.
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
        """Part of the requests that runs in another region than before."""
        before, after = sum(self.before.values()), sum(self.after.values())
        if not before or not after:
            return 0.0
        regions = self.before.keys() | self.after.keys()
        gained = (self.after.get(r, 0) / after - self.before.get(r, 0) / before for r in regions)
        return sum(max(0.0, gain) for gain in gained)


class MoveTable:
    """Collects what the lines tell of moves."""

    def __init__(self) -> None:
        self._told: defaultdict[tuple[float, str], list[LogLine]] = defaultdict(list)

    def add(self, line: LogLine, since_start_s: float) -> None:
        """Take a line; any that tells of no move changes nothing."""
        if line.part == "flow" and line.text == "Moved between regions.":
            window = int(since_start_s / WINDOW_S) * WINDOW_S
            self._told[(window, str(line.fields.get("origin", "")))].append(line)

    def list_moves(self) -> list[Moved]:
        """List the moves, the greatest first."""
        moves = [_sum_up(*key, lines) for key, lines in self._told.items()]
        return sorted(moves, key=lambda move: -move.part * sum(move.after.values()))


def _sum_up(since_start_s: float, origin: str, lines: list[LogLine]) -> Moved:
    """Sum up what several entries told of one window."""
    fields = [line.fields for line in lines]
    return Moved(
        since_start_s,
        origin,
        len({line.entry for line in lines}),
        _add_up(fields, "before"),
        _add_up(fields, "after"),
        dict(Counter(str(f.get("reason", "")) for f in fields).most_common()),
        tuple(sorted({int(f["version"]) for f in fields if "version" in f})),
        max(int(f.get("store_age_ms", 0)) for f in fields),
    )


def _add_up(fields: Iterable[dict[str, Any]], name: str) -> dict[str, int]:
    """Add up requests by region."""
    total: Counter[str] = Counter()
    for one in fields:
        total.update({str(region): int(n) for region, n in dict(one.get(name) or {}).items()})
    return dict(sorted(total.items()))


def describe_moves(moves: list[Moved]) -> list[str]:
    """Write moves as lines of text; nothing where there are none."""
    if not moves:
        return []
    lines = ["", "Requests that went to another region (of the entries that told so):"]
    for move in moves[:MOVES_SHOWN]:
        reasons = ", ".join(f"{reason} {n}" for reason, n in move.reasons.items())
        lines.append(
            f"{move.since_start_s:08.1f}  {move.origin or '?'}: {move.part:.2f} moved at "
            f"{move.entries} entries ({reasons}); {_join(move.before)} before, "
            f"{_join(move.after)} after; version {'/'.join(map(str, move.versions))}, "
            f"store heard up to {move.oldest_ms} ms ago"
        )
    left = len(moves) - MOVES_SHOWN
    return [*lines, f"{left:>8}  smaller ones"] if left > 0 else lines


def _join(counts: dict[str, int]) -> str:
    """Write requests by region."""
    return " ".join(f"{region} {n}" for region, n in counts.items())
