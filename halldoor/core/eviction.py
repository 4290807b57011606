"""Choice of the connections that are closed when a process runs out of memory or descriptors.

A connection that waits for its client is worth less than a new one: the client that made no
progress for the longest time is evicted first.  Connections whose requests have arrived are never
evicted; their answers are delivered.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar

PROGRESS_BYTES_PER_S = 16_384
"""Rate at which a client sends that makes progress; a slower one falls behind."""
LEAST_LAG_S = 1.0
"""Time without progress from which a connection may be evicted, in seconds."""


class ProgressClock:
    """Time up to which a client has made progress.

    Each byte moves it forward, at most to the present, so that neither a burst long ago nor a
    trickle of bytes hides that a client keeps the process waiting.

    Parameters
    ----------
    now : float
        Time of the start, in seconds.
    """

    __slots__ = ("_at",)

    def __init__(self, now: float) -> None:
        self._at = now

    def add(self, count: int, now: float) -> None:
        """Add a number of bytes that the client has sent."""
        self._at = min(now, self._at + count / PROGRESS_BYTES_PER_S)

    def skip(self, elapsed_s: float) -> None:
        """Disregard a time in which the client had nothing to do, in seconds."""
        self._at += elapsed_s

    def restart(self, now: float) -> None:
        """Start anew, since the client has been waiting for the process."""
        self._at = now

    def find_lag(self, now: float) -> float:
        """Return the time for which the client has made no progress, in seconds."""
        return now - self._at


class Evictable(Protocol):
    """A connection that may be evicted."""

    @property
    def is_evictable(self) -> bool:
        """Whether the connection waits for its client."""

    @property
    def progress(self) -> ProgressClock:
        """Progress of its client."""


T = TypeVar("T", bound=Evictable)


def choose_evicted(connections: Iterable[T], count: int, now: float) -> list[T]:
    """Return the connections to evict: those whose clients made no progress for longest.

    Parameters
    ----------
    count : int
        Number of connections to evict at most.
    """
    lags = (
        (lag, number, connection)
        for number, connection in enumerate(connections)
        if (lag := connection.progress.find_lag(now)) >= LEAST_LAG_S and connection.is_evictable
    )
    return [connection for _, _, connection in heapq.nlargest(count, lags)]
