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
from typing import Any

_BOOT_TIME: int | None = getattr(time, "CLOCK_BOOTTIME", None)


def counts_suspensions() -> bool:
    """Check whether the clock includes suspensions; without CLOCK_BOOTTIME it is monotonic."""
    return _BOOT_TIME is not None


def read_seconds() -> float:
    """Return the time since the host was started, suspensions included, in seconds."""
    return time.monotonic() if _BOOT_TIME is None else time.clock_gettime(_BOOT_TIME)


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
