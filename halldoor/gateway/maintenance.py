"""Removes expired state periodically, and detects that the process was suspended."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import Change, TargetRemoved, TargetSeen
from halldoor.gateway.clock import RunMeter
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.pool import TargetPool

TICK_S = 0.1
"""Period of the housekeeping, in seconds."""
SUSPENSION_S = 1.0
"""Time without running between two ticks above which the process was suspended, in seconds."""
BACKLOG_S = 0.2
"""Time after a suspension within which all data queued meanwhile is read, in seconds."""
SWEEP_TICKS = 10
"""Ticks between two sweeps of idle connections."""


class Maintenance:
    """Task that does the housekeeping.

    Parameters
    ----------
    catalog : Catalog
        Holds the records that expire.
    pools : sequence of TargetPool
        Hold the connections that expire.
    on_change : callable
        Called with each change that the housekeeping makes in the catalog.
    on_suspension : callable
        Called after the process or its host was suspended.
    """

    def __init__(
        self,
        catalog: Catalog,
        pools: Sequence[TargetPool],
        *,
        on_change: Callable[[Change], None],
        on_suspension: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._catalog = catalog
        self._pools = pools
        self._on_change = on_change
        self._on_suspension = on_suspension
        self._log = log
        self._meter = RunMeter()
        self._resumed_at = -math.inf

    def was_suspended(self) -> bool:
        """Check whether the process was suspended just now, also before a tick detects it."""
        now = asyncio.get_running_loop().time()
        is_resumed = now - self._resumed_at < BACKLOG_S
        return is_resumed or self._meter.was_suspended(now, limit_s=SUSPENSION_S)

    async def run(self) -> None:
        """Do the housekeeping until cancelled."""
        loop = asyncio.get_running_loop()
        if not self._meter.is_marked:
            self._meter.mark(loop.time())
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            self._check_run_time(now)
            self._meter.mark(now)
            self._catalog.contact.record_tick(now)
            self._apply_due_changes(now)
            tick += 1
            if tick % SWEEP_TICKS == 0:
                for pool in self._pools:
                    pool.sweep()

    def _check_run_time(self, now: float) -> None:
        """Log a long time between two ticks, and react if the process was suspended in it."""
        run_time = self._meter.measure(now)
        if run_time.elapsed_s <= SUSPENSION_S:
            return
        is_suspended = run_time.suspended_s > SUSPENSION_S
        self._log.event(
            "process",
            "Stood still." if is_suspended else "Was busy.",
            for_s=round(run_time.elapsed_s, 2),
            worked_s=round(run_time.worked_s, 2),
        )
        if is_suspended:
            self._resumed_at = now
            self._on_suspension()

    def _apply_due_changes(self, now: float) -> None:
        """Remove lapsed targets, apply postponed removals and drop expired leaving statements.

        A target has lapsed if its record expired in an outage of the store.  It is removed unless
        the record is written again in time after the outage.  An earlier start of a target is used
        if its record is the store's last.
        """
        lapses = dict(self._catalog.lapsed)
        for name in self._catalog.drop_lapsed(now):
            away_ms = round(lapses[name].away_s * 1000)
            self._log.event("targets", "Record stayed away.", target=name, store_away_ms=away_ms)
            self._on_change(TargetRemoved(name))
        for change in self._catalog.apply_postponed(now):
            if isinstance(change, TargetSeen):
                name, started_ms = change.record.incarnation, change.record.started_ms
                self._log.event("targets", "Earlier start.", target=name, started_ms=started_ms)
            self._on_change(change)
        for name in self._catalog.expire_leaving(now):
            self._log.event("targets", "Leaving statement expired.", target=name)
