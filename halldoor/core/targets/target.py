"""A target that may get requests, and what is known of it."""

from __future__ import annotations

import math

from halldoor.core.targets.changes import TargetRecord, TargetStart


class Target:
    """What is known of one start of a target.

    Attributes
    ----------
    stated_at : float
        When it last said whether it is cold, other than by its record.
    says_leaving : bool
        It said in an answer that it is about to end.
    is_withdrawn : bool
        Another entry read in the store that it drains or is gone.
    """

    def __init__(self, record: TargetRecord, cold_until: float) -> None:
        self.record = record
        self.cold_until = cold_until
        self.stated_at = -math.inf
        self.says_leaving = False
        self.is_withdrawn = False

    @property
    def start(self) -> TargetStart:
        """What tells this start of the target from others: its incarnation, and when it began."""
        return TargetStart(self.record.incarnation, self.record.started_ms)

    @property
    def is_draining(self) -> bool:
        """Whether it is about to end, by its record, its answers or another entry's notice."""
        return self.record.is_draining or self.says_leaving or self.is_withdrawn

    @property
    def name(self) -> str:
        """Name of this incarnation."""
        return self.record.incarnation

    def is_cold(self, now: float) -> bool:
        """Check whether the target is cold."""
        return now < self.cold_until
