"""Measures how long this process did not run, by how late a periodic timer fires."""

from __future__ import annotations

import asyncio
import math

TICK_S = 0.025
"""Period of the timer, in seconds; a stall is measured up to this much too short."""


class StallMeter:
    """Task that sums up the time in which the event loop did not run.

    A process stalls while its host has no processor for it, while it is stopped, or while one of
    its own callbacks computes.  Answers that arrive meanwhile are read only afterwards.
    """

    def __init__(self) -> None:
        self._total_s = 0.0
        self._due_at = math.inf

    def measure(self, now: float) -> float:
        """Return the sum of all stalls so far, in seconds, the present one included."""
        return self._total_s + max(0.0, now - self._due_at)

    def reset(self) -> None:
        """Stop measuring until the task runs again, so that its absence counts as no stall."""
        self._due_at = math.inf

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._due_at = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self._total_s = self.measure(loop.time())
