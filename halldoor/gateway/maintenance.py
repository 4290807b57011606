"""Drop what has run out, and notice when the process stood still."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import Change, TargetGone
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.pool import TargetPool

TICK_S = 0.1
"""Period of housekeeping, in seconds."""
STALL_S = 1.0
"""A tick that comes so late means that the process stood still, in seconds."""
UNREAD_S = 0.2
"""Time in which all that lay unread while the process stood still is read, in seconds."""
SWEEP_TICKS = 10
"""Ticks between two sweeps of idle connections."""


class Maintenance:
    """The task that does the housekeeping.

    Parameters
    ----------
    catalog, pool : Catalog, TargetPool
        What it sweeps.
    on_change : callable
        Called with each change that comes of it.
    on_stall : callable
        Called after the process stood still, or its machine was suspended.
    """

    def __init__(
        self,
        catalog: Catalog,
        pool: TargetPool,
        *,
        on_change: Callable[[Change], None],
        on_stall: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._catalog = catalog
        self._pool = pool
        self._on_change = on_change
        self._on_stall = on_stall
        self._log = log
        self._ticked_at: float | None = None
        self._woke_at = -math.inf

    def has_stood_still(self) -> bool:
        """Check whether the process has just stood still, whether it has noticed or not."""
        now = asyncio.get_running_loop().time()
        return self._is_late(now) or now - self._woke_at < UNREAD_S

    def _is_late(self, now: float) -> bool:
        """Check whether the tick is later than a busy process makes it."""
        return self._ticked_at is not None and now - self._ticked_at > STALL_S

    async def run(self) -> None:
        """Sweep until cancelled."""
        loop = asyncio.get_running_loop()
        self._ticked_at = loop.time()
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if self._is_late(now):
                self._log.event("process", "Stood still.", for_s=round(now - self._ticked_at, 2))
                self._woke_at = now
                self._on_stall()
            self._ticked_at = now
            self._catalog.contact.tick(now)
            self._drop_lapsed(now)
            tick += 1
            if tick % SWEEP_TICKS == 0:
                self._pool.sweep()

    def _drop_lapsed(self, now: float) -> None:
        """Drop what did not come back in time after the store did."""
        lapses = dict(self._catalog.lapsed)
        for name in self._catalog.drop_lapsed(now):
            away_ms = round(lapses[name].away_s * 1000)
            self._log.event("targets", "Record stayed away.", target=name, store_away_ms=away_ms)
            self._on_change(TargetGone(name))
        for change in self._catalog.apply_postponed(now):
            self._on_change(change)
        for name in self._catalog.expire_leaving(now):
            self._log.event("targets", "No longer known to leave.", target=name)
