"""Requests that a target left unanswered, until it is known whether the target ended under them.

A target whose host loses power closes nothing: its callers leave, or run out of time, before anyone
can tell that it ended.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from halldoor.core.quarantine.identity import Identity
from halldoor.core.targets.target import Target

GONE_WITHIN_S = 6.0
"""Time within which such a target is missed by the others, or its record goes, in seconds."""
KEPT = 512
"""Unanswered requests that are remembered."""


class Unanswered(NamedTuple):
    """A request that a target did not answer.

    Attributes
    ----------
    at : float
        When its caller left, or its time ran out, in seconds of the clock of ``now``.
    """

    request: Identity
    target: Target
    at: float


class UnansweredRequests:
    """The last requests that targets left unanswered."""

    def __init__(self) -> None:
        self._requests: deque[Unanswered] = deque(maxlen=KEPT)

    def add(self, request: Identity, target: Target, now: float) -> None:
        """Remember a request that a target did not answer."""
        self._requests.append(Unanswered(request, target, now))

    def take(self, incarnation: str, now: float) -> list[Unanswered]:
        """Take the requests under which a target ended that is gone now.

        A target that was leaving did not end under any.
        """
        recent = [r for r in self._requests if r.at >= now - GONE_WITHIN_S]
        self._requests = deque((r for r in recent if r.target.name != incarnation), maxlen=KEPT)
        return [r for r in recent if r.target.name == incarnation and not r.target.is_draining]
