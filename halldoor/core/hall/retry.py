"""Retry budget: limits retries to a share of the traffic, not to a count per request.

A limit per request alone would multiply the load when all requests fail.
"""

from __future__ import annotations


class RetryBudget:
    """Budget that allows retries up to a share of first attempts.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt in the long run.
    reserve : float
        Retries allowed before any traffic, and the most that are saved up.
    """

    def __init__(self, *, share: float = 0.2, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._credit = reserve

    def add_request(self) -> None:
        """Record a first attempt, which earns a share of a retry."""
        self._credit = min(self._reserve, self._credit + self._share)

    def reserve_retry(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
