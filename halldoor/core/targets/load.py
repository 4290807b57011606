"""How many requests are on a target: own counts, and what others had by its last report."""

from __future__ import annotations

import math
from typing import NamedTuple

NEWS_S = 0.2
"""Time in which what others had at a report falls to a third, in seconds.

About one to two requests' work: by then most of what was counted has ended.
"""
OLD_REPORT_S = 3 * NEWS_S
"""Age from which a report itself no longer counts, only what is usual, in seconds."""
HABIT_S = 3.0
"""Time in which what others usually have is forgotten without reports, in seconds."""
HABIT_WEIGHT = 0.2
"""Weight of the newest report in what others usually have: about the last five count."""
PRESSURE_WEIGHT = 0.1
"""Weight of the newest report in a target's pressure: about the last ten count."""


class LoadReport(NamedTuple):
    """What a target said of itself.

    Attributes
    ----------
    running, waiting : int
        Requests that it worked on, and that it had queued; the answered one is among them.
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

    @property
    def load(self) -> float:
        """Requests on the target in multiples of its slots."""
        return (self.running + self.waiting) / self.slots


class _Reported:
    """What a target's reports say.

    Attributes
    ----------
    others : float
        Requests of other entries at the last report.
    usual : float
        Moving average of that.
    pressure : float
        Moving average of the reported load, in multiples of the slots.
    """

    def __init__(self, pressure: float) -> None:
        self.load = 0.0
        self.others = 0.0
        self.usual = 0.0
        self.pressure = pressure
        self.at = 0.0


class LoadTable:
    """What the targets' reports say, beyond one's own requests."""

    def __init__(self) -> None:
        self._reported: dict[str, _Reported] = {}

    def add(self, target: str, report: LoadReport, now: float, *, own: int) -> None:
        """Take a report.

        Parameters
        ----------
        own : int
            This entry's requests on the target, the answered one included.
        """
        others = max(0.0, float(report.running + report.waiting - own))
        known = self._reported.get(target)
        if known is None:
            known = self._reported[target] = _Reported(pressure=report.load)
        known.load = report.load
        known.others = others
        known.usual += HABIT_WEIGHT * (others - known.usual)
        known.pressure += PRESSURE_WEIGHT * (report.load - known.pressure)
        known.at = now

    def has_report(self, target: str) -> bool:
        """Tell whether a target ever reported."""
        return target in self._reported

    def estimate_others(self, target: str, now: float) -> float:
        """Estimate other entries' requests on a target; 0 where nothing is known.

        Right after a report it is what the report said, then what is usual, then nothing.
        """
        known = self._reported.get(target)
        if known is None:
            return 0.0
        age_s = now - known.at
        usual = known.usual * math.exp(-age_s / HABIT_S)
        return usual + (known.others - usual) * math.exp(-age_s / NEWS_S)

    def get_pressure(self, target: str) -> float:
        """Give the load that a target had lately, in multiples of its slots."""
        known = self._reported.get(target)
        return 0.0 if known is None else known.pressure

    def get_load(self, target: str) -> float:
        """Give the load that a target reported last; 0 where it never did."""
        known = self._reported.get(target)
        return 0.0 if known is None else known.load

    def age(self, target: str, now: float) -> float | None:
        """Give the age of a target's last report in seconds; None where there is none."""
        known = self._reported.get(target)
        return None if known is None else now - known.at

    def forget(self, target: str) -> None:
        """Drop the reports of a target that is gone."""
        self._reported.pop(target, None)
