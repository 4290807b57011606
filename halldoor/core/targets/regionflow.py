"""Counts of the regions in which an entry's requests run, to report when many move.

A region's requests may move to other regions only slowly: requests that move all at once load
targets for which the keys are cold, and the links between regions.  Each entry counts its own
requests, so that its log shows when many moved, and why.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

WINDOW_S = 2.0
"""Length of the compared windows, in seconds: the window of the operators' bound on moves."""
MOVED_MIN = 0.15
"""Smallest part of the requests whose move is reported: the operators' usual bound on moves."""
REQUESTS_MIN = 20
"""Fewest requests in either window; with fewer, the part that moved is mostly chance."""


class RunReason(StrEnum):
    """Why a request runs in its region."""

    NEAR = "near"
    FIRST = "the key's first target is far"
    SPILLED = "spilled"
    RETRIED = "retried"
    HOME = "home region"


class RegionMove(NamedTuple):
    """A move of requests between regions, from one window to the next.

    Attributes
    ----------
    part : float
        Part of the requests that run in another region than before, 0 to 1.
    before, after : dict of str to int
        Requests by region of execution in the two windows.
    reason : RunReason
        Reason whose part of the requests changed most.
    """

    part: float
    before: dict[str, int]
    after: dict[str, int]
    reason: RunReason


class RegionFlow:
    """Counter of requests by region of execution and reason, which compares adjacent windows."""

    def __init__(self) -> None:
        self._window = -1
        self._current: Counter[tuple[str, RunReason]] = Counter()
        self._last: Counter[tuple[str, RunReason]] = Counter()

    def add(self, region: str, reason: RunReason, now: float) -> RegionMove | None:
        """Count a request; if it is the first of a new window, return the last move, if any."""
        window = int(now / WINDOW_S)
        move = None
        if window != self._window:
            move = compute_move(self._last, self._current)
            is_next = window == self._window + 1
            self._last = self._current if is_next else Counter()
            self._current = Counter()
            self._window = window
        self._current[(region, reason)] += 1
        return move


def compute_move(
    before: Counter[tuple[str, RunReason]], after: Counter[tuple[str, RunReason]]
) -> RegionMove | None:
    """Compute the move between two windows; None if it is small or there are few requests.

    Parameters
    ----------
    before, after : Counter of (str, RunReason)
        Requests of each window by region of execution and reason.
    """
    if min(before.total(), after.total()) < REQUESTS_MIN:
        return None
    by_region = [_sum_by_item(counts, 0) for counts in (before, after)]
    part = measure_move(*by_region)
    if part < MOVED_MIN:
        return None
    by_reason = [_sum_by_item(counts, 1) for counts in (before, after)]
    reasons = {
        reason: abs(by_reason[1][reason] / after.total() - by_reason[0][reason] / before.total())
        for reason in RunReason
        if reason is not RunReason.NEAR
    }
    return RegionMove(
        part, dict(by_region[0]), dict(by_region[1]), max(reasons, key=reasons.__getitem__)
    )


def measure_move(before: Counter[str], after: Counter[str]) -> float:
    """Return the part of the requests that run in another region than before, 0 to 1."""
    regions = {*before, *after}
    changes = (
        after[r] / max(1, after.total()) - before[r] / max(1, before.total()) for r in regions
    )
    return sum(abs(change) for change in changes) / 2


def _sum_by_item(counts: Counter[tuple[str, RunReason]], item: int) -> Counter[str]:
    """Sum counts by one item of their (region, reason) keys: 0 or 1."""
    summed: Counter[str] = Counter()
    for name, count in counts.items():
        summed[name[item]] += count
    return summed
