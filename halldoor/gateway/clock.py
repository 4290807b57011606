"""The clock by which the gateway measures all ages and timeouts.

It includes the time in which the host was suspended, which callers' deadlines, leases and restarts
of targets also include; ``time.monotonic`` does not.  The core receives the time as ``now`` and
reads no clock; all waiting uses the event loop, which runs on this clock.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Coroutine
from typing import Any, NamedTuple

_BOOT_TIME: int | None = getattr(time, "CLOCK_BOOTTIME", None)


class RunTime(NamedTuple):
    """A period of an event loop's thread.

    Attributes
    ----------
    elapsed_s, worked_s : float
        Its length, and the processor time that the thread used in it, in seconds.
    """

    elapsed_s: float
    worked_s: float

    @property
    def suspended_s(self) -> float:
        """Time in which the thread did not run, in seconds."""
        return self.elapsed_s - self.worked_s


def counts_suspensions() -> bool:
    """Check whether the clock includes suspensions; without CLOCK_BOOTTIME it is monotonic."""
    return _BOOT_TIME is not None


def read_seconds() -> float:
    """Return the time since the host was started, suspensions included, in seconds."""
    return time.monotonic() if _BOOT_TIME is None else time.clock_gettime(_BOOT_TIME)


def read_processor_seconds() -> float:
    """Return the processor time that this thread has used, in seconds, by the loop's own clock.

    In virtual time work takes none.
    """
    read = getattr(asyncio.get_running_loop(), "processor_time", time.thread_time)
    return float(read())


class RunMeter:
    """Measures how long an event loop's thread did not run, apart from its own work.

    A thread that computes for seconds reads its sockets late, too, but has kept its state.
    """

    def __init__(self) -> None:
        self._marked_at: float | None = None
        self._worked_s = 0.0

    @property
    def is_marked(self) -> bool:
        """Check whether it measures."""
        return self._marked_at is not None

    def mark(self, now: float) -> None:
        """Start to measure."""
        self._marked_at, self._worked_s = now, read_processor_seconds()

    def was_suspended(self, now: float, *, limit_s: float) -> bool:
        """Check whether the thread did not run for longer than a limit since the start."""
        is_long = self._marked_at is not None and now - self._marked_at > limit_s
        return is_long and self.measure(now).suspended_s > limit_s

    def measure(self, now: float) -> RunTime:
        """Return the time since the start, and the part of it in which the thread worked."""
        if self._marked_at is None:
            return RunTime(0.0, 0.0)
        return RunTime(now - self._marked_at, read_processor_seconds() - self._worked_s)


class GatewayLoop(asyncio.SelectorEventLoop):
    """An event loop on this clock: after a suspension all timers that expired in it fire."""

    def time(self) -> float:
        """Return the time of this module's clock, in seconds."""
        return read_seconds()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion on a `GatewayLoop`."""
    with asyncio.Runner(loop_factory=GatewayLoop) as runner:
        runner.run(main)


def run_program(main: Coroutine[Any, Any, None]) -> None:
    """Run a program's coroutine; signals that arrive when it has finished are blocked.

    Closing the loop resets its handlers, so that a late signal would change the exit status.
    """
    run(_block_late_signals(main))


async def _block_late_signals(main: Coroutine[Any, Any, None]) -> None:
    """Await a coroutine, and block the signals that end or reload a program after it."""
    try:
        await main
    finally:
        stops = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
        signal.pthread_sigmask(signal.SIG_BLOCK, stops)
