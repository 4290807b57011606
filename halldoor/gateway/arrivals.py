"""Limits on answers by their progress rather than by their whole time.

A large answer takes a narrow link longer than any time limit that suits small answers.  If such an
answer is given up and requested again, the link carries nothing else, and the answer never arrives.
"""

from __future__ import annotations

import asyncio

SILENCE_S = 1.0
"""Longest time in which no part of a body arrives, in seconds."""
LEAST_RATE = 32_768
"""Rate at which a body has to arrive on average, in bytes per second.

A server that sends a body slower, piece by piece, would hold up the changes that come after it.
"""


class Arrival:
    """The body of an answer as it arrives.

    Attributes
    ----------
    head_at : float or None
        When the head of the answer arrived, on the loop's clock; None before.
    received : int
        Bytes of the body that have arrived.
    size : int or None
        Bytes of the whole body; None if the head does not state them.
    """

    def __init__(self) -> None:
        self.head_at: float | None = None
        self.size: int | None = None
        self.received = 0
        self._last_at = 0.0

    def begin(self, now: float) -> None:
        """Record that the head of the answer arrived."""
        self.head_at = self._last_at = now

    def add(self, count: int, now: float) -> None:
        """Record that bytes of the body arrived."""
        self.received += count
        self._last_at = now

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer arrived."""
        return self.head_at is not None

    def find_limit(self) -> float:
        """Return when the answer is given up unless more of it arrives, on the loop's clock."""
        assert self.head_at is not None
        earned_s = self.received / LEAST_RATE
        return min(self._last_at, self.head_at + earned_s) + SILENCE_S

    def estimate_left_s(self, now: float) -> float:
        """Estimate when the answer is whole by its rate so far, in seconds; 0 if that is open."""
        if self.head_at is None or self.size is None or not self.received:
            return 0.0
        return (now - self.head_at) * (self.size / self.received - 1.0)

    def extend(self, limit: asyncio.Timeout, *, count: int = 0) -> None:
        """Record the head, or bytes of the body, and move the limit of the call to match.

        The limit is never moved forward: an answer has at least the time of its call.
        """
        now = asyncio.get_running_loop().time()
        if self.head_at is None:
            self.begin(now)
        self.add(count, now)
        before = limit.when()
        if before is not None and not limit.expired():
            limit.reschedule(max(before, self.find_limit()))
