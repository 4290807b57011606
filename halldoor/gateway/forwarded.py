"""Takes requests that entries without targets forward to this one."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.peers import ForwardingSettings
from halldoor.core.targets.reach import ReachMonitor
from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.answers import build_not_run_answer
from halldoor.gateway.attempt import Origin
from halldoor.gateway.caller import CallerConnection, Handler, Head
from halldoor.gateway.headers import FORWARDED_BY, HeaderNames, find
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.ports import RELAY, ServicePort
from halldoor.gateway.request import RequestHandler
from halldoor.gateway.stalls import StallMeter

ADDED_HEAD_BYTES = 1024
"""Bytes by which a forwarded request's head may exceed the limit on callers' heads."""
BUSY_PERIOD_S = 0.5
"""Period over which this process's stalls are measured, in seconds."""
BUSY_SHARE = 0.3
"""Share of it in which this process was stalled from which it takes no forwarded requests."""


class ForwardedRequests:
    """Handler of the port for other entries: forwarded requests, and polls for changes.

    Parameters
    ----------
    requests : RequestHandler
        Handles the requests that are taken.
    answer_poll : callable
        Handles all other requests.
    reach : ReachMonitor
        Knows whether this entry reaches any target.
    catalog : Catalog
        Knows the addresses of entries.
    stalls : StallMeter
        Measures the time in which this process did not run.
    is_ready : callable
        Returns whether callers should be sent here.
    """

    def __init__(
        self,
        requests: RequestHandler,
        answer_poll: Handler,
        reach: ReachMonitor,
        catalog: Catalog,
        *,
        names: HeaderNames,
        settings: ForwardingSettings,
        stalls: StallMeter,
        is_ready: Callable[[], bool],
        metrics: GatewayMetrics,
    ) -> None:
        self._requests = requests
        self._answer_poll = answer_poll
        self._reach = reach
        self._catalog = catalog
        self._names = names
        self._settings = settings
        self._stalls = stalls
        self._is_ready = is_ready
        self._metrics = metrics
        self._measured_at = -math.inf
        self._stalled_s = 0.0
        self._is_busy = False
        self.running = 0

    def read_limits(self) -> CallerLimits:
        """Return the limits on other entries: those on callers' sizes, and times of their own."""
        limits = self._requests.read_limits()
        return CallerLimits(
            head_bytes=max(limits.head_bytes, CallerLimits().head_bytes) + ADDED_HEAD_BYTES,
            body_bytes=limits.body_bytes,
            may_be_wrong=limits.may_be_wrong,
        )

    def build_port(self, address: Address | None) -> ServicePort:
        """Build the port for other entries; None: it is not opened."""
        return ServicePort(
            RELAY, address, self.answer, self.read_limits, self._requests.confirm_limits
        )

    async def answer(self, caller: CallerConnection, head: Head) -> None:
        """Answer a forwarded request, or a poll for changes."""
        mark = find(head.headers, FORWARDED_BY).decode("latin-1")
        if not mark:
            await self._answer_poll(caller, head)
            return
        reason = self._find_refusal(caller.address)
        self._metrics.add_forwarded("received", reason or "taken")
        if reason:
            attempt_id = find(head.headers, self._names.attempt_id)
            caller.send(build_not_run_answer(attempt_id, reason, self._names))
            return
        self.running += 1
        try:
            await self._requests.handle_forwarded(caller, head, Origin.from_mark(mark))
        finally:
            self.running -= 1

    def _find_refusal(self, ip: str) -> str:
        """Return why this entry takes no request from an address; empty if it takes one."""
        if not self._catalog.sharers.has_ip(ip):
            return "stranger"
        if not self._is_ready():
            return "not ready"
        if self._reach.loss is not None:
            return "no target reached"
        if self.running >= self._settings.max_running or self._measure_busy():
            return "full"
        return ""

    def _measure_busy(self) -> bool:
        """Check whether this process was stalled for much of the last period."""
        now = asyncio.get_running_loop().time()
        elapsed_s = now - self._measured_at
        if elapsed_s >= BUSY_PERIOD_S:
            stalled_s = self._stalls.measure(now)
            self._is_busy = stalled_s - self._stalled_s > BUSY_SHARE * elapsed_s
            self._measured_at, self._stalled_s = now, stalled_s
        return self._is_busy
