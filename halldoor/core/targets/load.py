"""Estimates of other entries' requests on a target, from the loads that targets report.

Load pattern: keys stay on their targets, so that a target with several keys is busy for long, and
the larger the fleet, the less often an entry gets a report of it.  How long a report counts is
computed from the observed time between reports and from the service's work.  A fixed time would be
too short for a large fleet, or too long for a small one.
"""

from __future__ import annotations

import math
from typing import NamedTuple

REPORT_DECAY_MIN_S = 0.2
"""Shortest decay time of a report, in seconds: one to two requests of 0.1 s."""
REPORT_DECAY_GAPS = 0.5
"""Decay time of a report, in multiples of the time between two reports of a target."""
REPORT_DECAY_WORKS = 8.0
"""Longest decay time of a report, in multiples of the mean work: the queue has changed by then."""
AVERAGE_DECAY_MIN_S = 3.0
"""Shortest decay time of others' average requests without further reports, in seconds."""
AVERAGE_DECAY_GAPS = 4.0
"""The same in multiples of the time between two reports of a target: several are missing then."""
INTERVAL_WEIGHT = 0.05
"""Weight of the newest interval between reports of a service: about the last twenty count."""
AVERAGE_WEIGHT = 0.2
"""Weight of the newest report in others' average requests: about the last five count."""
SLOWNESS_DECAY_S = 0.3
"""Time in which the weight of a reported work time falls to a third, in seconds: targets that share
their hosts are slow for about twice as long, so that a later request must not be kept away."""
PRESSURE_WEIGHT = 0.1
"""Weight of the newest report in a target's pressure: about the last ten count."""
USUAL_WORK_PERCENT = 100
"""Reported work time of a target that works as fast as usual, in percent."""
MAX_FIGURE_DIGITS = 6
"""Digits of a reported figure from which it is taken to be an error."""


class LoadReport(NamedTuple):
    """The load that a target reported in an answer.

    Attributes
    ----------
    running, waiting : int
        Requests that it ran, and that it had queued, the answered one included.
    slots : int
        Requests that it can run at a time.
    work_percent : int
        How long work takes there at the moment, in percent of the usual time.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT

    @classmethod
    def from_text(cls, text: bytes) -> LoadReport | None:
        """Parse ``running,waiting,slots`` and optionally ``,work_percent``.

        Further figures are ignored, and so is a work time that is not a number above 0: the others
        are of use without it.

        Returns
        -------
        LoadReport or None
            None if one of the first three figures is missing or out of range.
        """
        parts = text.split(b",")
        if len(parts) < 3 or not all(map(_is_count, parts[:3])):
            return None
        running, waiting, slots = map(int, parts[:3])
        if slots == 0:
            return None
        has_percent = len(parts) > 3 and _is_count(parts[3]) and int(parts[3]) > 0
        return cls(running, waiting, slots, int(parts[3]) if has_percent else USUAL_WORK_PERCENT)

    @property
    def slowness(self) -> float:
        """How long work takes at the moment, in multiples of its usual time."""
        return self.work_percent / USUAL_WORK_PERCENT

    @property
    def load(self) -> float:
        """Requests on the target, running and queued, in multiples of its slots."""
        return (self.running + self.waiting) / self.slots


def _is_count(text: bytes) -> bool:
    """Check whether a text is a whole number from 0 and of a plausible size."""
    text = text.strip()
    return text.isdigit() and len(text) <= MAX_FIGURE_DIGITS


class DecayTimes(NamedTuple):
    """Decay times of a report.

    Attributes
    ----------
    news_s : float
        Time in which the weight of the last report falls to a third, in seconds.
    habit_s : float
        Time in which others' average requests fall to a third without reports, in seconds.
    """

    news_s: float = REPORT_DECAY_MIN_S
    habit_s: float = AVERAGE_DECAY_MIN_S

    @classmethod
    def from_pace(cls, *, gap_s: float, work_s: float) -> DecayTimes:
        """Compute the decay times from a target's report interval and its service's work time.

        Parameters
        ----------
        gap_s : float
            Time between two reports of a target, in seconds.
        work_s : float
            Mean work of a request of the service, in seconds.
        """
        news_s = min(REPORT_DECAY_GAPS * gap_s, REPORT_DECAY_WORKS * work_s)
        return cls(
            max(REPORT_DECAY_MIN_S, news_s), max(AVERAGE_DECAY_MIN_S, AVERAGE_DECAY_GAPS * gap_s)
        )

    @property
    def stale_after_s(self) -> float:
        """Age from which a report has little weight and the average decides, in seconds."""
        return 3 * self.news_s


class _ReportPace:
    """The rate at which this entry gets reports of a service's targets, all together.

    Attributes
    ----------
    interval_s : float
        Moving average of the time between two reports, in seconds; 0 before the second.
    """

    def __init__(self) -> None:
        self.interval_s = 0.0
        self._last_at: float | None = None
        self.decay = DecayTimes()

    def add(self, now: float) -> None:
        """Record the time of a report."""
        if self._last_at is not None:
            interval_s = now - self._last_at
            weight = INTERVAL_WEIGHT if self.interval_s else 1.0
            self.interval_s += weight * (interval_s - self.interval_s)
        self._last_at = now


class _TargetLoad:
    """The load of a target by its reports.

    Attributes
    ----------
    others : float
        Requests of other entries at the last report.
    average : float
        Moving average of others' requests.
    work_percent : int
        Work time at the last report, in percent of the usual one.
    pressure : float
        Moving average of the reported load, in multiples of the slots.
    pace : _ReportPace
        Rate of reports of the service's targets.
    """

    def __init__(self, pressure: float, pace: _ReportPace) -> None:
        self.pace = pace
        self.load = 0.0
        self.others = 0.0
        self.average = 0.0
        self.pressure = pressure
        self.work_percent = USUAL_WORK_PERCENT
        self.at = 0.0


class LoadTable:
    """Loads of the targets by their reports, this entry's own requests deducted."""

    def __init__(self) -> None:
        self._loads: dict[str, _TargetLoad] = {}
        self._paces: dict[str, _ReportPace] = {}

    def update_decay(self, service: str, *, targets: int, work_s: float) -> None:
        """Compute the decay times of a service's reports from its size and work.

        Parameters
        ----------
        targets : int
            Targets that share the service's reports.
        work_s : float
            Mean work of its requests, in seconds.
        """
        pace = self._find_pace(service)
        pace.decay = DecayTimes.from_pace(gap_s=targets * pace.interval_s, work_s=work_s)

    def _find_pace(self, service: str) -> _ReportPace:
        """Return the pace of a service's reports, new if there is none."""
        return self._paces.setdefault(service, _ReportPace())

    def add(
        self, target: str, report: LoadReport, now: float, *, own: int, service: str = ""
    ) -> None:
        """Record a target's report.

        Parameters
        ----------
        own : int
            This entry's requests on the target, the answered one included.
        """
        others = max(0.0, float(report.running + report.waiting - own))
        known = self._loads.get(target)
        if known is None:
            known = _TargetLoad(pressure=report.load, pace=self._find_pace(service))
            self._loads[target] = known
        known.pace.add(now)
        known.load = report.load
        known.work_percent = report.work_percent
        known.others = others
        known.average += AVERAGE_WEIGHT * (others - known.average)
        known.pressure += PRESSURE_WEIGHT * (report.load - known.pressure)
        known.at = now

    def has_report(self, target: str) -> bool:
        """Check whether a target ever reported."""
        return target in self._loads

    def estimate_others(self, target: str, now: float) -> float:
        """Estimate other entries' requests on a target; 0 if it never reported.

        The estimate decays from the reported number to the average, and from there to 0.
        """
        known = self._loads.get(target)
        if known is None:
            return 0.0
        age_s = now - known.at
        decay = known.pace.decay
        average = known.average * math.exp(-age_s / decay.habit_s)
        return average + (known.others - average) * math.exp(-age_s / decay.news_s)

    def get_slowness(self, target: str, now: float) -> float:
        """Return how long work takes at a target, in multiples of its usual time; 1 if unknown.

        The last reported value decays to 1 with `SLOWNESS_DECAY_S`.
        """
        known = self._loads.get(target)
        if known is None or known.work_percent == USUAL_WORK_PERCENT:
            return 1.0
        excess = known.work_percent / USUAL_WORK_PERCENT - 1
        return 1.0 + excess * math.exp(-(now - known.at) / SLOWNESS_DECAY_S)

    def get_stale_after_s(self, target: str) -> float:
        """Return the age from which a target's report has little weight, in seconds."""
        known = self._loads.get(target)
        return DecayTimes().stale_after_s if known is None else known.pace.decay.stale_after_s

    def get_pressure(self, target: str) -> float:
        """Return the moving average of a target's load, in multiples of its slots; 0 if unknown."""
        known = self._loads.get(target)
        return 0.0 if known is None else known.pressure

    def get_load(self, target: str) -> float:
        """Return a target's last reported load, in multiples of its slots; 0 if there is none."""
        known = self._loads.get(target)
        return 0.0 if known is None else known.load

    def get_report_age(self, target: str, now: float) -> float | None:
        """Return the age of a target's last report, in seconds; None if there is none."""
        known = self._loads.get(target)
        return None if known is None else now - known.at

    def forget(self, target: str) -> None:
        """Drop the reports of a target that was removed."""
        self._loads.pop(target, None)
