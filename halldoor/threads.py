"""Threads whose work starts again after an unexpected exception."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

import structlog

log = structlog.get_logger(part="threads")

MIN_BACKOFF_S = 0.05
"""Pause before the first restart, in seconds; it doubles with each further one."""
MAX_BACKOFF_S = 5.0
"""Longest pause before a restart, in seconds; after as long a time of work it is short again."""

failures: Counter[str] = Counter()
"""Unexpected exceptions in this process by the name of the thread; only reported."""


class RestartingThread(threading.Thread):
    """Daemon thread that calls a function again whenever it raises, with back-off.

    Parameters
    ----------
    name : str
        Name of the thread, in the log and in `failures`.
    work : callable
        Work of the thread, which ends when it returns.
    is_stopping : callable
        Checks whether the work must not start again.
    """

    def __init__(
        self, name: str, work: Callable[[], None], *, is_stopping: Callable[[], bool]
    ) -> None:
        super().__init__(name=name, daemon=True)
        self._work = work
        self._is_stopping = is_stopping

    def run(self) -> None:
        """Do the work until it returns, or raises while the process stops."""
        backoff_s = MIN_BACKOFF_S
        while True:
            started = time.monotonic()
            try:
                self._work()
                return
            except Exception:
                failures[self.name] += 1
                if self._is_stopping():
                    return
                if time.monotonic() - started >= MAX_BACKOFF_S:
                    backoff_s = MIN_BACKOFF_S
                log.exception("A thread failed; it starts again.", thread=self.name)
            time.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
