"""Checks whether targets that have never answered do, without callers' requests."""

from __future__ import annotations

import asyncio

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.target import Target
from halldoor.core.targets.unproven import UnprovenTargets
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

TICK_S = 0.05
"""Time between two scans for checks that are due, in seconds."""
ANSWER_S = 0.5
"""Time limit of a check, in seconds, connecting included; at a busy target it waits for a slot."""
MAX_CHECKS = 32
"""Largest number of checks in progress at once."""
OTHER_INCARNATION = 421
"""Status with which another target at the same address turns a request away."""


class TargetChecks:
    """Task that requests the health answers of unproven targets whose check is due.

    Parameters
    ----------
    catalog : Catalog
        Provides the paths of the health checks.
    unproven : UnprovenTargets
        Decides which targets are checked, and receives the results.
    names : HeaderNames
        Header names that targets use.
    """

    def __init__(
        self,
        catalog: Catalog,
        unproven: UnprovenTargets,
        *,
        names: HeaderNames,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._unproven = unproven
        self._names = names
        self._log = log
        self._metrics = metrics
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start the checks that are due, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await asyncio.sleep(TICK_S)
                most = MAX_CHECKS - len(self._running)
                for target in self._unproven.pop_due_checks(loop.time(), most):
                    check = loop.create_task(self._check(target))
                    self._running.add(check)
                    check.add_done_callback(self._running.discard)
        finally:
            for check in self._running:
                check.cancel()

    def reset(self) -> None:
        """Forget the checks of the run before."""
        self._running = set()

    async def _check(self, target: Target) -> None:
        """Request a target's health answer, and record whether it answered."""
        client = HttpClient(target.record.address, connect_s=CONNECT_TIMEOUT_S)
        headers = [(self._names.expected_incarnation, target.name.encode())]
        path = find_health_path(self._catalog, target)
        try:
            answer = await client.call(
                "GET", path, headers=headers, timeout_s=ANSWER_S, max_bytes=MAX_HEALTH_BYTES
            )
        except HttpCallError as exc:
            self._add_failure(target, str(exc))
            return
        finally:
            client.close()
        if not self._is_of(target, answer):
            self._add_failure(target, f"another target answered {answer.status}")
            return
        self._metrics.add_target_check("ok")
        self._unproven.add_answer(target)

    def _add_failure(self, target: Target, cause: str) -> None:
        """Record and log that a target did not answer a check."""
        self._metrics.add_target_check("failed")
        if self._unproven.add_check_failure(target, asyncio.get_running_loop().time()):
            self._log.event(
                "targets",
                "Has never answered.",
                target=target.name,
                cause=cause,
                address=str(target.record.address),
            )

    def _is_of(self, target: Target, answer: HttpAnswer) -> bool:
        """Check whether an answer is the target's own; one that turns away may lack its name."""
        name = find(answer.headers, self._names.incarnation)
        return answer.status != OTHER_INCARNATION and name in (b"", target.name.encode())


def find_health_path(catalog: Catalog, target: Target) -> str:
    """Return the path of a target's health check."""
    routing = catalog.routing
    service = routing.services.get(target.record.service) if routing is not None else None
    return service.health_path if service is not None and service.health_path else "/health"
