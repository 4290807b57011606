"""Whether a request may be sent to another target: one answer for both request paths.

A budget bounds how many of those that may are: `hall.retry` and `targets.budget`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

LEAST_TIME_S = 0.005
"""Time that must be left for another attempt, in seconds: it could not even connect in less."""


class RetryObstacle(StrEnum):
    """Why a request is not sent again; its words stand in answers and logs."""

    BODY_GONE = "its body can't be sent again"
    MAY_HAVE_RUN = "it may have run"
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_TIME = "no time left"
    BUDGET = "retry budget used up"
    QUARANTINED = "targets end under it"


class RetryFacts(NamedTuple):
    """What decides whether a request may be sent again.

    Attributes
    ----------
    is_repeatable : bool
        Running it twice does no harm.
    may_have_run : bool
        A target may have run it.
    can_resend : bool
        The whole of its body is still here.
    attempts, attempt_limit : int
        Attempts so far, and how many there may be.
    left_s : float
        Time left for an answer, in seconds.
    """

    is_repeatable: bool
    may_have_run: bool
    can_resend: bool
    attempts: int
    attempt_limit: int
    left_s: float


def find_obstacle(facts: RetryFacts) -> RetryObstacle | None:
    """Find what forbids to send a request again, budgets aside; None where nothing does."""
    if not facts.can_resend:
        return RetryObstacle.BODY_GONE
    if facts.may_have_run and not facts.is_repeatable:
        return RetryObstacle.MAY_HAVE_RUN
    if facts.attempts >= facts.attempt_limit:
        return RetryObstacle.NO_ATTEMPT_LEFT
    if facts.left_s <= LEAST_TIME_S:
        return RetryObstacle.NO_TIME
    return None
