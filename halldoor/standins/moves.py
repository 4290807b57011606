"""Shifts of a region's requests to other regions during a replay."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from halldoor.core.targets.regionflow import WINDOW_S, measure_move
from halldoor.standins.patterns import Pattern
from halldoor.standins.replay import Run

SLIDE_S = 0.25
"""Distance between the starts of successive pairs of windows, in seconds."""
DISRUPTED_S = 4.0
"""Time before and after a disruption in which moves are ignored, in seconds."""


class Move(NamedTuple):
    """Change of the regions that ran requests, from one window to the next.

    Attributes
    ----------
    part : float
        Share of the requests that ran in another region than in the window before.
    at_s : float
        Start of the second window, in seconds.
    """

    part: float
    at_s: float


def list_moves(runs: Sequence[Run], origin: str, pattern: Pattern) -> list[Move]:
    """List the changes of the regions that ran a region's requests, from window to window.

    There is one move for each pair of adjacent windows of `WINDOW_S`, at steps of `SLIDE_S`.
    Pairs that begin within `DISRUPTED_S` of a disruption, or contain one, are left out.
    """
    moves = []
    at_s = 2 * WINDOW_S
    while at_s + WINDOW_S <= pattern.length_s:
        begin_s = at_s - WINDOW_S
        if not _is_disrupted(pattern, begin_s, at_s + WINDOW_S):
            windows = (begin_s, at_s, at_s + WINDOW_S)
            before, after = (
                Counter(r.region for r in runs if r.origin == origin and since <= r.at_s < until)
                for since, until in itertools.pairwise(windows)
            )
            moves.append(Move(measure_move(before, after), at_s))
        at_s += SLIDE_S
    return moves


def find_largest_move(runs: Sequence[Run], origin: str, pattern: Pattern) -> Move:
    """Return the largest move of a region's requests between adjacent undisrupted windows."""
    return max(list_moves(runs, origin, pattern))


def _is_disrupted(pattern: Pattern, since_s: float, until_s: float) -> bool:
    """Check whether a period contains a disruption or begins within `DISRUPTED_S` of one."""
    times = [0.0]
    for evacuation in pattern.evacuations:
        times += [evacuation.at_s, evacuation.until_s]
    for slowdown in pattern.slowdowns:
        times += [slowdown.at_s, slowdown.at_s + slowdown.for_s]
    return any(
        at_s - DISRUPTED_S < since_s < at_s + DISRUPTED_S or since_s <= at_s < until_s
        for at_s in times
    )
