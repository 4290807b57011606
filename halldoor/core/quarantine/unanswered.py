"""Requests that a target left unanswered, kept until it is known whether the target crashed.

A target whose host loses power closes no connection: its callers disconnect or time out before the
crash is noticed, and the crash would not be counted against their requests.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from halldoor.core.quarantine.identity import Identity
from halldoor.core.targets.target import Target

NOTICED_WITHIN_S = 6.0
"""Time in which a crash is noticed by other entries or the target's record expires, in seconds."""
REQUESTS_KEPT = 512
"""Unanswered requests that are kept, the newest."""


class Unanswered(NamedTuple):
    """A request that a target did not answer.

    Attributes
    ----------
    at : float
        When its caller disconnected or its deadline passed, in seconds of the clock of ``now``.
    """

    request: Identity
    target: Target
    at: float


class UnansweredRequests:
    """The last requests that targets left unanswered."""

    def __init__(self) -> None:
        self._requests: deque[Unanswered] = deque(maxlen=REQUESTS_KEPT)

    def add(self, request: Identity, target: Target, now: float) -> None:
        """Keep a request that a target did not answer."""
        self._requests.append(Unanswered(request, target, now))

    def pop_crashed(self, incarnation: str, now: float) -> list[Unanswered]:
        """Remove and return the recent requests that a crashed target left unanswered.

        The list is empty for a target that was draining: it stopped on purpose.

        Parameters
        ----------
        incarnation : str
            Name of the crashed target's incarnation.
        """
        recent = [r for r in self._requests if r.at >= now - NOTICED_WITHIN_S]
        self._requests = deque(
            (r for r in recent if r.target.name != incarnation), maxlen=REQUESTS_KEPT
        )
        return [r for r in recent if r.target.name == incarnation and not r.target.is_draining]
