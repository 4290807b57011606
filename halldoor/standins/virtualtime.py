"""Event loop in virtual time: the clock jumps to the next timer when no task can run.

Simulated minutes take about a second, and every run is the same.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualClockSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the time for which the loop would wait."""
        if timeout is None:
            raise RuntimeError("All tasks wait and no timer is set. Schedule a timer.")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets, in virtual time."""

    def __init__(self) -> None:
        self._virtual = _VirtualClockSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual.now

    def processor_time(self) -> float:
        """Return the virtual time for which the thread has worked, which is none."""
        return 0.0

    def suspend(self, for_s: float) -> None:
        """Advance the clock without running any task, as on a suspended machine."""
        self._virtual.now += for_s


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine until it finishes, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
