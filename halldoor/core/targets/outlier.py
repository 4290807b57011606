"""Outlier detection by this entry's own results: failing or slow targets are ejected for a time."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

FAILURES_TO_EJECT = 2.0
"""Consecutive failures that eject a target; a single one may be a lost packet."""
SLOW_WEIGHT = 0.67
"""Weight of an answer that missed its time, in failures: under load healthy targets have some."""
EJECT_S = 1.0
"""Duration of the first ejection, in seconds; it doubles each time up to `EJECT_LIMIT_S`."""
EJECT_LIMIT_S = 8.0
"""Longest ejection, in seconds; targets that recover must get requests again soon."""
SHED_PAUSE_S = 0.05
"""First pause after a full target refused a request, in seconds: about a third of a quick request.
It doubles with each further consecutive refusal, up to `SHED_PAUSE_LIMIT_S`."""
SHED_PAUSE_LIMIT_S = 0.8
"""Longest such pause, in seconds."""
SLOW_FACTOR = 3.0
"""Multiple of the service's average time from which a target counts as slow.

A cold key takes about three times as long as a warm one, so a single answer that is so slow
doesn't eject a target; its average has to be.
"""
SLOW_SAMPLES = 4
"""Answers of a target from which its average is used."""
TARGET_WEIGHT = 0.3
"""Weight of the newest answer in a target's average time: about the last three count."""
SERVICE_WEIGHT = 0.02
"""Weight of the newest answer in a service's average time: about the last fifty count."""


class OutlierSettings(NamedTuple):
    """Reasons to eject a target; each can be switched off.

    Attributes
    ----------
    ejects_failing : bool
        Whether targets that fail repeatedly, or can't be reached, are ejected.
    ejects_slow : bool
        Whether targets that are much slower than their service are ejected.
    """

    ejects_failing: bool = True
    ejects_slow: bool = True


class _Results:
    """Results of one target.

    Attributes
    ----------
    ejections : int
        Consecutive ejections; if above 0 when an ejection ended, a single failure ejects again.
    ejected_at : float
        Begin of the last ejection, on the steady clock.
    pause_doublings : int
        Consecutive refusals by the full target; each doubles the next pause, up to the longest.
    """

    def __init__(self) -> None:
        self.failures = 0.0
        self.ejections = 0
        self.ejected_at = -math.inf
        self.pause_doublings = 0
        self.ejected_until = 0.0
        self.average_s = 0.0
        self.samples = 0


class OutlierTable:
    """Results by target, and the targets that are ejected because of them.

    Parameters
    ----------
    settings : OutlierSettings, optional
        Reasons to eject a target.
    """

    def __init__(self, settings: OutlierSettings | None = None) -> None:
        self._settings = settings or OutlierSettings()
        self._results: dict[str, _Results] = {}
        self._ejected: dict[str, float] = {}
        self._service_average_s: dict[str, float] = {}

    def add_untimed_success(self, target: str) -> None:
        """Record a successful answer whose duration is unknown."""
        results = self._results.setdefault(target, _Results())
        results.pause_doublings = 0
        results.failures = 0.0
        results.ejections = 0

    def add_success(self, target: str, service: str, took_s: float, now: float) -> bool:
        """Record a successful answer; True if the target is ejected because it is too slow."""
        results = self._results.setdefault(target, _Results())
        usual_s = self._service_average_s.get(service, took_s)
        self._service_average_s[service] = usual_s + SERVICE_WEIGHT * (took_s - usual_s)
        results.pause_doublings = 0
        results.samples += 1
        if results.samples == 1:
            results.average_s = took_s
        results.average_s += TARGET_WEIGHT * (took_s - results.average_s)
        is_slow = self._settings.ejects_slow and took_s > SLOW_FACTOR * usual_s
        if is_slow and results.ejections:
            return self._eject(target, results, now)
        if self._is_slow_on_average(results, usual_s):
            return self._eject(target, results, now)
        if not is_slow:
            results.failures = 0.0
            results.ejections = 0
        return False

    def _is_slow_on_average(self, results: _Results, usual_s: float) -> bool:
        """Check whether a target's average time is much longer than its service's."""
        is_known = self._settings.ejects_slow and results.samples >= SLOW_SAMPLES
        return is_known and results.average_s > SLOW_FACTOR * usual_s

    def add_failure(
        self, target: str, now: float, *, is_unreachable: bool = False, is_slow: bool = False
    ) -> bool:
        """Record a failure; True if it ejects the target.

        Parameters
        ----------
        is_unreachable : bool, optional
            Whether no connection could be opened: one such failure ejects the target.
        is_slow : bool, optional
            Whether the answer did not arrive in time, which counts as `SLOW_WEIGHT` failures.
        """
        results = self._results.setdefault(target, _Results())
        if not self._settings.ejects_failing:
            return False
        results.failures += SLOW_WEIGHT if is_slow else 1.0
        if results.failures < FAILURES_TO_EJECT and not is_unreachable and not results.ejections:
            return False
        return self._eject(target, results, now)

    def _eject(self, target: str, results: _Results, now: float) -> bool:
        """Eject a target, for a longer time with each consecutive ejection."""
        if now < results.ejected_until:
            return False  # The request was sent before the ejection.
        results.failures = 0.0
        results.samples = 0
        results.ejected_at = now
        results.ejected_until = now + min(EJECT_LIMIT_S, EJECT_S * 2**results.ejections)
        results.ejections += 1
        self._ejected[target] = results.ejected_until
        return True

    def revoke_since(self, at: float) -> None:
        """Revoke the ejections and failures of a period in which no target could be reached.

        Parameters
        ----------
        at : float
            Begin of the period; earlier ejections hold.
        """
        for target, results in self._results.items():
            if results.ejected_at >= at:
                results.failures = 0.0
                results.ejections = 0
                results.ejected_until = at
                self._ejected.pop(target, None)

    def add_shed(self, target: str, now: float) -> None:
        """Record that a full target refused a request, and pause sending to it."""
        results = self._results.setdefault(target, _Results())
        if now < results.ejected_until:
            return  # The request was sent before the pause.
        pause_s = min(SHED_PAUSE_LIMIT_S, SHED_PAUSE_S * 2**results.pause_doublings)
        if pause_s < SHED_PAUSE_LIMIT_S:
            results.pause_doublings += 1
        results.ejected_until = now + pause_s
        self._ejected[target] = results.ejected_until

    def is_ejected(self, target: str, now: float) -> bool:
        """Check whether a target is ejected, or paused because it was full."""
        results = self._results.get(target)
        return results is not None and now < results.ejected_until

    def list_ejected(self, now: float) -> Collection[str]:
        """List the targets that are ejected, or paused because they were full."""
        over = [target for target, until in self._ejected.items() if until <= now]
        for target in over:
            del self._ejected[target]
        return self._ejected.keys()

    def is_on_trial(self, target: str) -> bool:
        """Check whether a target had no timely, successful answer since its last ejection."""
        results = self._results.get(target)
        return results is not None and results.ejections > 0

    def forget(self, target: str) -> None:
        """Drop the results of a target that was removed."""
        self._results.pop(target, None)
        self._ejected.pop(target, None)
