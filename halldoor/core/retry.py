"""Rules for sending a request again to another target, shared by both request paths.

The number of retries is limited by the budgets in `hall.retry` and `targets.budget`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

MIN_ATTEMPT_TIME_S = 0.005
"""Least time left for another attempt, in seconds: less is not enough to connect."""


class RetryObstacle(StrEnum):
    """Reason why a request is not sent again; the values appear in answers and logs."""

    BODY_GONE = "its body can't be sent again"
    MAY_HAVE_RUN = "it may have run"
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_TIME = "no time left"
    BUDGET = "retry budget used up"
    QUARANTINED = "targets end under it"


class RetryFacts(NamedTuple):
    """The facts that decide whether a request may be sent again.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may run more than once.
    may_have_run : bool
        Whether a target may have run it.
    can_resend : bool
        Whether its whole body is still available.
    attempts, attempt_limit : int
        Number of attempts so far, and the most that are allowed.
    left_s : float
        Time until the deadline, in seconds.
    """

    is_repeatable: bool
    may_have_run: bool
    can_resend: bool
    attempts: int
    attempt_limit: int
    left_s: float


def find_retry_obstacle(facts: RetryFacts) -> RetryObstacle | None:
    """Return why a request must not be sent again, apart from budgets; None if it may be."""
    if not facts.can_resend:
        return RetryObstacle.BODY_GONE
    if facts.may_have_run and not facts.is_repeatable:
        return RetryObstacle.MAY_HAVE_RUN
    if facts.attempts >= facts.attempt_limit:
        return RetryObstacle.NO_ATTEMPT_LEFT
    if facts.left_s <= MIN_ATTEMPT_TIME_S:
        return RetryObstacle.NO_TIME
    return None
