"""Outlier detection on one's own results: leave failing targets quickly, try them carefully."""

from __future__ import annotations

FAILURES_TO_EJECT = 2.0
"""Failures in a row that eject a target; one alone may be a lost packet."""
SLOW_WEIGHT = 0.5
"""Part of a failure that an answer out of time counts: under load good targets have some."""
EJECT_S = 1.0
"""First ejection, in seconds; it doubles each time up to `EJECT_LIMIT_S`."""
EJECT_LIMIT_S = 8.0
"""Longest ejection, in seconds; targets that come back are wanted soon."""
SHED_PAUSE_S = 0.05
"""Pause after a target was full, in seconds: about a third of a quick request."""


class _Results:
    """What was seen of one target."""

    def __init__(self) -> None:
        self.failures = 0.0
        self.ejections = 0
        self.ejected_until = 0.0


class OutlierTable:
    """Results by target, and who is ejected because of them."""

    def __init__(self) -> None:
        self._results: dict[str, _Results] = {}

    def add_success(self, target: str) -> None:
        """Count a sound answer."""
        results = self._results.get(target)
        if results is not None:
            results.failures = 0.0
            results.ejections = 0
            results.ejected_until = 0.0

    def add_failure(
        self, target: str, now: float, *, is_dead: bool = False, is_slow: bool = False
    ) -> bool:
        """Count a failure; True where it ejects the target.

        Parameters
        ----------
        is_dead : bool, optional
            No connection came up: one failure is enough.
        is_slow : bool, optional
            The answer did not come in time: it takes more of these.
        """
        results = self._results.setdefault(target, _Results())
        results.failures += SLOW_WEIGHT if is_slow else 1.0
        if results.failures < FAILURES_TO_EJECT and not is_dead:
            return False
        results.failures = 0.0
        pause_s = min(EJECT_LIMIT_S, EJECT_S * 2**results.ejections)
        results.ejections += 1
        results.ejected_until = now + pause_s
        return True

    def add_shed(self, target: str, now: float) -> None:
        """Count a request that a full target turned away."""
        results = self._results.setdefault(target, _Results())
        results.ejected_until = max(results.ejected_until, now + SHED_PAUSE_S)

    def is_ejected(self, target: str, now: float) -> bool:
        """Tell whether a target is left alone for now."""
        results = self._results.get(target)
        return results is not None and now < results.ejected_until

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._results.pop(target, None)
