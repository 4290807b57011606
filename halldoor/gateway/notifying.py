"""Notifies receivers of changes, and repeats notifications that fail."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from halldoor.gateway.failures import FailureReporter

RETRY_S = (0.05, 0.2, 0.8)
"""Pauses before the retries of a failed notification, in seconds; then it is dropped."""
QUEUE_LIMIT = 10_000
"""Greatest number of notifications that wait for one receiver."""


class Notifier:
    """Calls receivers, so that one that fails affects neither its caller nor other receivers.

    A call that fails is retried, and later calls of the same receiver wait for it, so that each
    receiver sees the changes in order.
    """

    def __init__(self, reporter: FailureReporter) -> None:
        self._reporter = reporter
        self._waiting: dict[Callable[..., object], deque[tuple[Any, ...]]] = {}

    def notify(self, receiver: Callable[..., object], *args: Any) -> None:
        """Call a receiver, now or after its earlier calls."""
        waiting = self._waiting.get(receiver)
        if waiting is not None:
            if len(waiting) < QUEUE_LIMIT:
                waiting.append(args)
            else:
                self._report(receiver, OverflowError("Too many notifications wait."))
            return
        try:
            receiver(*args)
        except Exception as exc:
            self._report(receiver, exc)
            self._waiting[receiver] = deque([args])
            self._schedule(receiver, 0)

    def _schedule(self, receiver: Callable[..., object], retry: int) -> None:
        """Schedule a retry by its number from 0."""
        loop = asyncio.get_running_loop()
        loop.call_later(RETRY_S[retry], self._retry, receiver, retry)

    def _retry(self, receiver: Callable[..., object], retry: int) -> None:
        """Make the calls that wait for a receiver, until one fails."""
        waiting = self._waiting[receiver]
        while waiting:
            try:
                receiver(*waiting[0])
            except Exception as exc:
                self._report(receiver, exc)
                retry += 1
                if retry < len(RETRY_S):
                    self._schedule(receiver, retry)
                    return
            waiting.popleft()
            retry = -1  # The next call is made for the first time.
        del self._waiting[receiver]

    def _report(self, receiver: Callable[..., object], exc: Exception) -> None:
        """Report a failed call."""
        name = getattr(receiver, "__qualname__", type(receiver).__name__)
        self._reporter.report("notification", "A receiver of changes failed.", exc, receiver=name)
