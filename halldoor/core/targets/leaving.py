"""Targets that say in their answers that they are about to end.

Load pattern: a planned end while the store is away, so that no record says so.  An answer is the
newest proof there is.  A target does not come back from it under its incarnation, whatever an
older record says.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

HEARSAY_S = 30.0
"""Time for which another entry's word holds, in seconds.  Then a request of one's own shows whether
it is true: a target that was named by mistake is not lost."""
KEPT = 2000
"""Targets that are remembered, in case their record goes and comes back."""


class LeavingNotice(NamedTuple):
    """A target's own statement that it leaves, as an entry read it.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    started_ms : int
        Start of the target that the statement is about; see `TargetRecord`.
    age_s : float
        Time since its answer arrived, in seconds.
    """

    target: str
    started_ms: int
    age_s: float

    @property
    def is_valid(self) -> bool:
        """Whether the age is one that an entry may send."""
        return math.isfinite(self.age_s) and self.age_s >= 0


class LeavingTable:
    """Which targets said that they leave, and until when that is believed."""

    def __init__(self) -> None:
        self._until: OrderedDict[tuple[str, int], float] = OrderedDict()

    def add(self, target: str, started_ms: int, *, until: float = math.inf) -> bool:
        """Add a target; False where it was known.

        Parameters
        ----------
        started_ms : int
            The start that the statement is about.
        until : float, optional
            When it is no longer believed; without it, it is for good.
        """
        start = (target, started_ms)
        is_news = start not in self._until
        self._until[start] = max(until, self._until.get(start, until))
        if len(self._until) > KEPT:
            self._until.popitem(last=False)
        return is_news

    def has(self, target: str, started_ms: int) -> bool:
        """Whether this start of a target said that it leaves."""
        return (target, started_ms) in self._until

    def expire(self, now: float) -> list[str]:
        """Drop what is no longer believed; return the targets."""
        expired = [start for start, until in self._until.items() if until <= now]
        for start in expired:
            del self._until[start]
        return [target for target, _ in expired]
