"""Asks the targets that seemed to crash under a sound request whether they are running.

An entry that loses its links to targets can't tell that from crashes.  Other entries then block a
request although they reach its targets, and nothing clears it, since a blocked request is not sent.
"""

from __future__ import annotations

import asyncio
import random

from halldoor.core.targets.reach import ReachMonitor
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.reach import ReachProbe

REVIEW_WITHIN_S = 0.4
"""Longest random delay of a review, in seconds, so that mostly one entry's review is enough."""


class CrashReview:
    """Task that reviews the evidence against requests which were answered lately and are blocked.

    A target whose health answer names its own incarnation has not crashed; its crash is cleared for
    all requests, at all entries.  Requests without an answer stay blocked until their next trial,
    since a target may crash under a request and keep its incarnation.

    Parameters
    ----------
    monitor : ReachMonitor
        Tells whether this entry reaches targets; otherwise it reviews nothing.
    probe : ReachProbe
        Asks the targets.
    """

    def __init__(
        self, quarantine: RequestQuarantine, monitor: ReachMonitor, probe: ReachProbe
    ) -> None:
        self._quarantine = quarantine
        self._monitor = monitor
        self._probe = probe
        self._random = random.Random()
        self._due: dict[str, float] = {}
        self._has_due = asyncio.Event()
        quarantine.on_sound_blocked = self._plan

    def _plan(self, digest: str) -> None:
        """Plan a review of a request that has just become blocked."""
        now = asyncio.get_running_loop().time()
        self._due[digest] = now + self._random.uniform(0.0, REVIEW_WITHIN_S)
        self._has_due.set()

    async def run(self) -> None:
        """Review requests when they are due, until cancelled."""
        while True:
            await self._has_due.wait()
            digest = min(self._due, key=lambda digest: self._due[digest])
            await asyncio.sleep(self._due[digest] - asyncio.get_running_loop().time())
            self._due.pop(digest)
            if not self._due:
                self._has_due.clear()
            if self._monitor.loss is None:
                await self._probe.refute_crashes(self._quarantine.list_blamed_for(digest))
