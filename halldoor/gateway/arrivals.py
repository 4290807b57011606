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
MOST_LENIENT = 16.0
"""Greatest factor by which the limits are relaxed."""


class Arrival:
    """The body of an answer as it arrives.

    Parameters
    ----------
    leniency : float, optional
        Factor by which the limits on silence and rate are relaxed.

    Attributes
    ----------
    head_at : float or None
        When the head of the answer arrived, on the loop's clock; None before.
    received : int
        Bytes of the body that have arrived.
    size : int or None
        Bytes of the whole body; None if the head does not state them.
    needed_leniency : bool
        Whether the body would have been given up without leniency.
    """

    def __init__(self, leniency: float = 1.0) -> None:
        self._leniency = leniency
        self.needed_leniency = False
        self.head_at: float | None = None
        self.size: int | None = None
        self.received = 0
        self._last_at = 0.0

    def begin(self, now: float) -> None:
        """Record that the head of the answer arrived."""
        self.head_at = self._last_at = now

    def add(self, count: int, now: float) -> None:
        """Record that bytes of the body arrived."""
        self.needed_leniency = self.needed_leniency or now > self._find_limit(1.0)
        self.received += count
        self._last_at = now

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer arrived."""
        return self.head_at is not None

    def find_limit(self) -> float:
        """Return when the answer is given up unless more of it arrives, on the loop's clock."""
        return self._find_limit(self._leniency)

    def _find_limit(self, leniency: float) -> float:
        """Return the limit with a leniency."""
        assert self.head_at is not None
        earned_s = leniency * self.received / LEAST_RATE
        return min(self._last_at, self.head_at + earned_s) + leniency * SILENCE_S

    def is_overdue(self, now: float) -> bool:
        """Check whether the body has begun, and too little of it arrived."""
        return self.has_begun and now >= self.find_limit()

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


class ProgressLimits:
    """Limits on the answers of one server, relaxed while none of them arrives.

    An answer that was given up is requested again.  With the same limits it would be given up each
    time over a link that is slower than they allow.
    """

    def __init__(self) -> None:
        self._leniency = 1.0
        self._lost_bytes = 0

    def open(self) -> Arrival:
        """Return the progress of the next answer, with the present limits."""
        return Arrival(self._leniency)

    def record_failure(self, arrival: Arrival, now: float) -> None:
        """Record a failed call; relax the limits if its answer was given up.

        Parameters
        ----------
        now : float
            Time of the loop's clock, in seconds.
        """
        if arrival.is_overdue(now):
            self._leniency = min(MOST_LENIENT, 2.0 * self._leniency)
            self._lost_bytes = max(self._lost_bytes, arrival.received)

    def record_success(self, arrival: Arrival) -> None:
        """Record a whole answer; restore the limits once they let a large one or some others pass.

        Each whole answer halves the size from which one counts as large.
        """
        if arrival.needed_leniency:
            return
        self._lost_bytes //= 2
        if arrival.received > self._lost_bytes:
            self._leniency, self._lost_bytes = 1.0, 0
