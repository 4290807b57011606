"""Probes targets when this entry may have lost its way to all of them, and logs the result."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.reach import Loss, ReachMonitor
from halldoor.core.targets.target import Target
from halldoor.gateway.checks import find_health_path
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.headers import HeaderNames, find
from halldoor.gateway.httpclient import (
    MAX_HEALTH_BYTES,
    HttpAnswer,
    HttpCallError,
    HttpClient,
)
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.pool import CONNECT_TIMEOUT_S
from halldoor.gateway.stalls import StallMeter

TICK_S = 0.05
"""Period of checking whether probes are due, in seconds."""
ANSWER_S = 0.35
"""Time limit of a probe's answer, in seconds, connecting included."""
RETURN_ANSWER_S = 1.0
"""The same while no target can be reached: at a busy target the answer waits for a slot."""
STALLED_S = 0.1
"""Time of a round in which this process was stalled from which its failures don't count, in
seconds, beyond the time that the round allows for stalls."""
ALLOWANCE_LIMIT_S = 1.0
"""Longest time that a round allows for stalls, in seconds."""

BLAMED_PROBED = 16
"""Greatest number of targets that are probed at once since they seemed to crash."""
LOSS_SLACK_S = 0.05
"""Time before a loss in which connections that broke belong to it, in seconds."""

NO_ANSWER = "no answer over a new connection"
"""Cause of the failure of a probe whose connection opened."""


class ReachProbe:
    """Task that probes targets while `ReachMonitor` has a round due.

    A probe requests a target's health answer over a new connection: on some networks connections
    open, and break or carry no data.

    Parameters
    ----------
    monitor : ReachMonitor
        Decides when to probe, and by the results whether any target can be reached.
    catalog : Catalog
        Provides the targets and the paths of their health checks.
    names : HeaderNames
        Header names that targets use.
    stalls : StallMeter
        Measures the time in which this process did not run; failures in such a time don't count.

    Attributes
    ----------
    on_loss, on_return : list of callable
        Called with the `Loss` when it began, and when it ended.
    list_blamed_since : callable
        Returns the targets that seemed to crash since a time.  After a loss each of them is probed.
    list_reliable : callable
        Returns those of some targets that are probed: ones that have answered, if there are any.
    on_running : callable
        Called with those of them that run under their incarnation, and so did not crash.
    """

    def __init__(
        self,
        monitor: ReachMonitor,
        catalog: Catalog,
        *,
        names: HeaderNames,
        stalls: StallMeter,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._monitor = monitor
        self._catalog = catalog
        self._names = names
        self._stalls = stalls
        self._log = log
        self._metrics = metrics
        self._random = random.Random()
        self._allowance_s = 0.0
        self.on_loss: list[Callable[[Loss], None]] = []
        self.on_return: list[Callable[[Loss], None]] = []
        self.list_blamed_since: Callable[[float], Collection[Target]] = lambda at: ()
        self.list_reliable: Callable[[Collection[Target]], list[Target]] = list
        self.on_running: Callable[[Collection[Target]], None] = lambda targets: None

    def get_figures(self, now: float) -> dict[str, float]:
        """Return the time since the loss of all targets, 0 if some are reached, for the metrics."""
        loss = self._monitor.loss
        return {"targets_unreached_seconds": 0.0 if loss is None else now - loss.since}

    async def run(self) -> None:
        """Probe targets when a round is due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            if self._monitor.is_round_due(loop.time()):
                await self._run_round()

    async def _run_round(self) -> None:
        """Probe some targets at the same time, and apply the results.

        After a round whose failures don't count, the next one allows as much time for stalls as
        that one had, so that a process which always stalls notices a loss, too.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        stalled_s = self._stalls.measure(began_at)
        usable = [t for t in self._catalog.list_targets() if not t.is_draining]
        reliable = self.list_reliable(usable)
        targets = self._monitor.choose_probes(reliable, self._random)
        causes = await asyncio.gather(*(self._probe(target) for target in targets))
        now = loop.time()
        results = {t.name: cause for t, cause in zip(targets, causes, strict=True)}
        if self._monitor.last_answer_at >= began_at:
            # Others answer meanwhile, so a target that accepts connections is busy.
            results = {name: cause for name, cause in results.items() if cause != NO_ANSWER}
        stalled_s = self._stalls.measure(now) - stalled_s
        if stalled_s > STALLED_S + self._allowance_s:
            results = {name: cause for name, cause in results.items() if not cause}
            self._allowance_s = min(ALLOWANCE_LIMIT_S, stalled_s)
        else:
            self._allowance_s = 0.0
        before = self._monitor.loss
        if self._monitor.add_round(results, now, began_at=began_at):
            self._report_change(before, now)
            if before is not None:
                await self.refute_crashes(self.list_blamed_since(before.since - LOSS_SLACK_S))

    async def refute_crashes(self, suspects: Collection[Target]) -> None:
        """Find out which targets that seemed to crash are running."""
        blamed = list(suspects)[:BLAMED_PROBED]
        are_running = await asyncio.gather(*(self._is_running(target) for target in blamed))
        running = [t for t, is_running in zip(blamed, are_running, strict=True) if is_running]
        if running:
            self.on_running(running)

    async def _is_running(self, target: Target) -> bool:
        """Check whether a target's health answer names its incarnation."""
        try:
            answer = await self._request_health(target, timeout_s=RETURN_ANSWER_S)
        except HttpCallError:
            return False
        return find(answer.headers, self._names.incarnation) == target.name.encode()

    async def _probe(self, target: Target) -> str:
        """Request a target's health answer; return the cause of a failure, empty if it answered."""
        timeout_s = ANSWER_S if self._monitor.loss is None else RETURN_ANSWER_S
        try:
            await self._request_health(target, timeout_s=timeout_s)
        except HttpCallError as exc:
            return NO_ANSWER if isinstance(exc.__cause__, TimeoutError) else str(exc)
        return ""

    async def _request_health(self, target: Target, *, timeout_s: float) -> HttpAnswer:
        """Request a target's health answer over a new connection; raise HttpCallError."""
        connect_s = CONNECT_TIMEOUT_S + self._allowance_s
        client = HttpClient(target.record.address, connect_s=connect_s)
        headers = [(self._names.expected_incarnation, target.name.encode())]
        outcome = "failed"
        try:
            path = find_health_path(self._catalog, target)
            answer = await client.call(
                "GET",
                path,
                headers=headers,
                timeout_s=timeout_s + self._allowance_s,
                max_bytes=MAX_HEALTH_BYTES,
            )
            outcome = "reached"
            return answer
        finally:
            self._metrics.add_reach_probe(outcome)
            client.close()

    def _report_change(self, before: Loss | None, now: float) -> None:
        """Log that a loss began or ended, and call the receivers."""
        loss = self._monitor.loss
        if loss is not None:
            self._log.event(
                "reach",
                "No target can be reached.",
                since_ms=round((now - loss.since) * 1000),
                last_answer_ms=round((now - self._monitor.last_answer_at) * 1000)
                if self._monitor.last_answer_at > 0
                else None,
                causes=dict(loss.causes),
            )
            for receive in self.on_loss:
                receive(loss)
        elif before is not None:
            self._log.event(
                "reach", "Targets can be reached again.", for_s=round(now - before.since, 2)
            )
            for receive in self.on_return:
                receive(before)
