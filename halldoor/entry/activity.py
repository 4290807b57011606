"""Count the requests that an entry has anything to do with, so that it stops after the last."""

from __future__ import annotations

import threading


class Activity:
    """A count of requests under way, from their first byte to the last of their answer."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def begin(self) -> None:
        """Count a request in."""
        with self._lock:
            self._count += 1

    def end(self) -> None:
        """Count a request out."""
        with self._lock:
            self._count -= 1

    @property
    def count(self) -> int:
        """Requests under way."""
        with self._lock:
            return self._count
