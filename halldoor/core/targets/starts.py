"""Records of earlier starts of targets, which wait until the later start had time to write again.

A target that restarts under its name may still get a late record of its earlier start.  But where
the later start never writes again, such as one whose time is wrong, the store's record decides.
"""

from __future__ import annotations

from halldoor.core.targets.changes import TargetRecord


class EarlierStarts:
    """The last record of an earlier start of each target, and when it is due."""

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[TargetRecord, float]] = {}

    def add(self, record: TargetRecord, *, due_at: float) -> None:
        """Add a record; it is due when the first one since the later start's record is.

        Parameters
        ----------
        due_at : float
            Time at which it is due, in seconds of the steady clock.
        """
        _, known_due_at = self._waiting.get(record.incarnation, (record, due_at))
        self._waiting[record.incarnation] = record, known_due_at

    def cancel(self, incarnation: str) -> None:
        """Drop the record of a target whose later start was written again, or that was removed."""
        self._waiting.pop(incarnation, None)

    def pop_due(self, now: float) -> list[TargetRecord]:
        """Remove and return the records that are due."""
        due = [record for record, due_at in self._waiting.values() if due_at <= now]
        for record in due:
            del self._waiting[record.incarnation]
        return due
