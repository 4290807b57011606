"""The one clock by which the gateway measures every age and every wait.

It counts the time in which the machine was suspended, as everything outside does: callers'
deadlines, leases, targets that restart.  The steady clock of most programs does not.  The core gets
the time as ``now`` and reads no clock; all that waits does so on the event loop, which goes by it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

_BOOT_TIME: int | None = getattr(time, "CLOCK_BOOTTIME", None)


def counts_suspensions() -> bool:
    """Check whether this system has such a clock; the steady one takes its place elsewhere."""
    return _BOOT_TIME is not None


def read_seconds() -> float:
    """Read the time since the machine was started, suspensions included, in seconds."""
    return time.monotonic() if _BOOT_TIME is None else time.clock_gettime(_BOOT_TIME)


class GatewayLoop(asyncio.SelectorEventLoop):
    """An event loop on that clock: on waking, all that is due by then happens at once."""

    def time(self) -> float:
        """Return the time, in seconds."""
        return read_seconds()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on such a loop."""
    with asyncio.Runner(loop_factory=GatewayLoop) as runner:
        runner.run(main)
