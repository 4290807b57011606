"""Pauses between consecutive failed calls to the store."""

from __future__ import annotations

from random import Random

from halldoor.core.targets.relay import RETRY_S

BACKOFF_S = 0.25
"""Time from the first of consecutive failures to the retry after the second, in seconds.

Later pauses double it, up to `BACKOFF_LIMIT_S`.
"""
BACKOFF_LIMIT_S = 1.0
"""Longest pause after failed calls, in seconds: the end of an outage is detected within it."""


class Backoff:
    """Exponential backoff of one entry's calls.

    Parameters
    ----------
    source : random.Random
        Spreads the first retries of many entries over time.
    """

    def __init__(self, source: Random) -> None:
        self._source = source
        self._failures = 0
        self._first_s = 0.0

    def reset(self) -> None:
        """Record a successful call, so that the next failure counts as the first."""
        self._failures = 0

    def draw_spread_s(self) -> float:
        """Return a random pause before a first retry, in seconds."""
        return self._source.uniform(0.0, RETRY_S)

    def find_pause_s(self) -> float:
        """Record a failure, and return the pause after it, in seconds."""
        self._failures += 1
        if self._failures == 1:
            self._first_s = self.draw_spread_s()
            return self._first_s
        if self._failures == 2:
            return BACKOFF_S - self._first_s
        # The exponent is bounded: it would overflow in an outage of days.
        doublings = min(self._failures - 2, 10)
        return min(BACKOFF_LIMIT_S, BACKOFF_S * 2.0**doublings)
