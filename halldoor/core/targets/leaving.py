"""Targets that state in their answers that they are leaving: about to stop, refusing new requests.

Load pattern: a planned stop during an outage of the store, so that no record shows it.  An answer
is then the newest information.  A target that leaves doesn't return under its incarnation, even if
an older record still shows it as serving.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from halldoor.core.bounds import SignedSeconds, UnixMs

LEAVING_NOTICE_S = 30.0
"""Lifetime of a statement received from another entry, in seconds.  After it, the next answer to
this entry shows whether the target is leaving, so that one named by mistake is used again."""
STARTS_KEPT = 2000
"""Starts of targets that are remembered, in case their record is removed and written again."""


class LeavingNotice(NamedTuple):
    """A target's statement that it is leaving, as an entry received it.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    started_ms : int
        Start of the target that the statement is about; see `TargetRecord`.
    age_s : float
        Time since the target's answer arrived, in seconds.
    """

    target: str
    started_ms: UnixMs
    age_s: SignedSeconds

    @property
    def is_valid(self) -> bool:
        """Whether the age is finite and not negative."""
        return math.isfinite(self.age_s) and self.age_s >= 0


class LeavingTable:
    """Starts of targets that stated that they are leaving, and the expiry of each statement."""

    def __init__(self) -> None:
        self._until: OrderedDict[tuple[str, int], float] = OrderedDict()

    def add(self, target: str, started_ms: int, *, until: float = math.inf) -> bool:
        """Add a target that is leaving; return whether it is new.

        Parameters
        ----------
        started_ms : int
            The start of the target that the statement is about.
        until : float, optional
            Time at which the statement expires; by default it never does.
        """
        start = (target, started_ms)
        is_new = start not in self._until
        self._until[start] = max(until, self._until.get(start, until))
        if len(self._until) > STARTS_KEPT:
            self._until.popitem(last=False)
        return is_new

    def has(self, target: str, started_ms: int) -> bool:
        """Check whether a start of a target is leaving."""
        return (target, started_ms) in self._until

    def expire(self, now: float) -> list[str]:
        """Drop expired statements; return the names of their targets."""
        expired = [start for start, until in self._until.items() if until <= now]
        for start in expired:
            del self._until[start]
        return [target for target, _ in expired]
