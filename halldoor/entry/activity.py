"""Count of running requests, so that a stopping entry exits only after the last one."""

from __future__ import annotations

import threading


class RunningRequests:
    """Thread-safe count of running requests, from their first byte to their answer's last."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def add(self) -> None:
        """Count a request as running."""
        with self._lock:
            self._count += 1

    def remove(self) -> None:
        """Count a request as finished."""
        with self._lock:
            self._count -= 1

    @property
    def count(self) -> int:
        """Number of running requests."""
        with self._lock:
            return self._count
