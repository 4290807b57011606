"""A target that may get requests, and its known state."""

from __future__ import annotations

import math

from halldoor.core.targets.changes import TargetRecord, TargetStart


class Target:
    """The known state of one start of a target.

    Attributes
    ----------
    record : TargetRecord
        Its record in the store.
    cold_until : float
        Time until which it is cold, in seconds of the steady clock.
    stated_at : float
        Time of its last statement on whether it is cold, other than by its record.
    has_stated_leaving : bool
        Whether it stated in an answer that it is about to stop.
    is_withdrawn : bool
        Whether another entry sent a notice that the store withdrew it.
    """

    def __init__(self, record: TargetRecord, cold_until: float) -> None:
        self.record = record
        self.cold_until = cold_until
        self.stated_at = -math.inf
        self.has_stated_leaving = False
        self.is_withdrawn = False

    @property
    def start(self) -> TargetStart:
        """Identity of this start of the target: its incarnation and its start time."""
        return TargetStart(self.record.incarnation, self.record.started_ms)

    @property
    def is_draining(self) -> bool:
        """Whether it is about to stop, by its record, its answers or another entry's notice."""
        return self.record.is_draining or self.has_stated_leaving or self.is_withdrawn

    @property
    def name(self) -> str:
        """Name of the target's incarnation."""
        return self.record.incarnation

    def is_cold(self, now: float) -> bool:
        """Check whether the target is cold."""
        return now < self.cold_until
