"""Load that targets report with their answers; it lags, so one's own counts lead."""

from __future__ import annotations

from typing import NamedTuple

REPORT_MEMORY_S = 0.4
"""How long a report counts, in seconds: about the time of the requests that it counted."""


class LoadReport(NamedTuple):
    """What a target said of itself.

    Attributes
    ----------
    running, waiting : int
        Requests that it worked on, and that it had queued.
    slots : int
        Requests that it can work on at a time.
    """

    running: int
    waiting: int
    slots: int

    @classmethod
    def from_text(cls, text: bytes) -> LoadReport | None:
        """Read ``running,waiting,slots``; None where it can't be read."""
        try:
            running, waiting, slots = (int(part) for part in text.split(b","))
        except ValueError:
            return None
        return cls(running, waiting, slots) if slots > 0 else None


class LoadTable:
    """The last report of each target."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[LoadReport, float]] = {}

    def add(self, target: str, report: LoadReport, now: float) -> None:
        """Take a report."""
        self._reports[target] = (report, now)

    def estimate(self, target: str, now: float) -> float:
        """Estimate the requests on a target in multiples of its slots; 0 where nothing is known."""
        known = self._reports.get(target)
        if known is None or now - known[1] > REPORT_MEMORY_S:
            return 0.0
        report = known[0]
        return (report.running + report.waiting) / report.slots

    def age(self, target: str, now: float) -> float | None:
        """Give the age of a target's last report in seconds; None where there is none."""
        known = self._reports.get(target)
        return None if known is None else now - known[1]

    def forget(self, target: str) -> None:
        """Drop the report of a target that is gone."""
        self._reports.pop(target, None)
