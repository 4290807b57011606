"""Retry budget: retries are a share of traffic, not a count per request."""

from __future__ import annotations


class RetryBudget:
    """Allow retries up to a share of first attempts.

    Parameters
    ----------
    share : float
        Retries per first attempt over time.
    reserve : float
        Retries allowed before any traffic and saved up at most.
    """

    def __init__(self, *, share: float = 0.2, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._credit = reserve

    def add_request(self) -> None:
        """Count a first attempt."""
        self._credit = min(self._reserve, self._credit + self._share)

    def take_retry(self) -> bool:
        """Spend one retry; False where the budget is used up."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
