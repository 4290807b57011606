"""A target that may get requests, and what is known of it."""

from __future__ import annotations

import math

from halldoor.core.targets.changes import TargetRecord


class Target:
    """What is known of one start of a target.

    Attributes
    ----------
    stated_at : float
        When it last said whether it is cold, other than by its record.
    says_leaving : bool
        It said in an answer that it is about to end.
    """

    def __init__(self, record: TargetRecord, cold_until: float) -> None:
        self.record = record
        self.cold_until = cold_until
        self.stated_at = -math.inf
        self.says_leaving = False

    @property
    def start(self) -> tuple[str, int]:
        """What tells this start of the target from others: its incarnation, and when it began."""
        return self.record.incarnation, self.record.started_ms

    @property
    def is_draining(self) -> bool:
        """Whether it is about to end, by its record or its answers."""
        return self.record.is_draining or self.says_leaving

    @property
    def name(self) -> str:
        """Name of this incarnation."""
        return self.record.incarnation

    def is_cold(self, now: float) -> bool:
        """Check whether the target is cold."""
        return now < self.cold_until
