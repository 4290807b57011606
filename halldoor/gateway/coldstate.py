"""Checks which targets are cold while neither the store nor an entry in contact can be reached.

Such an entry requests the health answers of the targets that it uses, and
notifies other entries of the results.  Otherwise requests would overload a cold target.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from halldoor.core.decoding import DecodingError, parse_float
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.choice import Chooser
from halldoor.core.targets.notice import ColdNotice
from halldoor.core.targets.target import Target
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.headers import HeaderNames, Headers, find
from halldoor.gateway.httpclient import (
    MAX_HEALTH_BYTES,
    HttpAnswer,
    HttpCallError,
    HttpClient,
)
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender

PERIOD_S = 0.25
"""Time between two messages, and between two scans for targets to check, in seconds."""
CHECK_S = 1.0
"""Age of a target's last statement or check after which it is checked again, in seconds."""
CHECK_SPREAD = 0.5
"""Largest random share added to `CHECK_S`, so that entries check different targets and notify each
other of the results."""
CHECK_TIMEOUT_S = 1.0
"""Time limit of a health answer, in seconds; at the target it waits for a slot like a request."""
MAX_COLD_MS = 1e9
"""Longest time for which a target can say that it is cold, in milliseconds."""
MAX_CHECKS = 24
"""Largest number of checks in progress at once."""


class ColdStateExchange:
    """Task that checks targets, and exchanges the results with other entries.

    Parameters
    ----------
    catalog : Catalog
        Holds the targets, the other entries and the time of the last contact with the store.
    chooser : Chooser
        Lists the targets in use.
    sender, port : NoticeSender, DatagramPort
        Send messages to other entries and receive theirs.
    names : HeaderNames
        Header names that targets use.
    read_statement : callable
        Called with a target, the status and header fields of its health answer, and the time.
    contact_limit_s : float
        Time without contact with the store after which targets are checked, in seconds.
    """

    def __init__(
        self,
        catalog: Catalog,
        chooser: Chooser,
        sender: NoticeSender,
        port: DatagramPort,
        *,
        names: HeaderNames,
        read_statement: Callable[[Target, int, Headers, float], object],
        contact_limit_s: float,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._chooser = chooser
        self._sender = sender
        self._names = names
        self._read_statement = read_statement
        self._contact_limit_s = contact_limit_s
        self._log = log
        self._metrics = metrics
        self._pending: dict[str, ColdNotice] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._checked_at: dict[str, float] = {}
        self._random = random.Random()
        port.register_receiver(MessageKind.COLD_STATE, list[ColdNotice], self._receive)

    def forget(self, target: str) -> None:
        """Drop the notice and check time of a target that was removed."""
        self._pending.pop(target, None)
        self._checked_at.pop(target, None)

    def reset(self) -> None:
        """Drop the queued notices, and check targets again."""
        self._pending = {}
        self._checks = {}
        self._checked_at = {}

    async def run(self) -> None:
        """Send notices and check targets until cancelled."""
        try:
            while True:
                await asyncio.sleep(PERIOD_S)
                self._check_targets(asyncio.get_running_loop().time())
                notices, self._pending = list(self._pending.values()), {}
                self._sender.send(MessageKind.COLD_STATE, notices)
        finally:
            for check in self._checks.values():
                check.cancel()

    def _receive(self, notices: list[ColdNotice], sender: Address) -> None:
        """Apply the notices of another entry."""
        for notice in notices:
            self._apply(notice, source=str(sender))

    def _apply(self, notice: ColdNotice, *, source: str) -> None:
        """Apply a notice to the catalog, and log it where it changed the target's cold state."""
        now = asyncio.get_running_loop().time()
        if notice.is_valid and self._catalog.apply_cold_notice(notice, now):
            self._log.event(
                "targets",
                "Cold, by a health answer; the store is out of reach.",
                target=notice.target,
                cold_left_s=notice.cold_left_s,
                source=source,
                store_age_ms=round((now - self._catalog.store_contact_at) * 1000),
            )

    def _check_targets(self, now: float) -> None:
        """Start a check of each target that is due, unless the store was reached recently."""
        self._checks = {name: task for name, task in self._checks.items() if not task.done()}
        if now - self._catalog.last_update_at <= self._contact_limit_s:
            return
        for target in self._list_due(now):
            if len(self._checks) >= MAX_CHECKS:
                return
            self._checked_at[target.name] = now
            self._checks[target.name] = asyncio.ensure_future(self._check(target))

    def _list_due(self, now: float) -> Iterable[Target]:
        """Return the targets in use whose cold state is outdated, oldest first."""
        due = []
        for name in self._chooser.list_in_use(now):
            target = self._catalog.find_target(name)
            if target is None or target.is_cold(now) or name in self._checks:
                continue
            if self._chooser.find_backoff([target], now) > 0:
                continue
            known_at = max(target.stated_at, self._checked_at.get(name, 0.0))
            if now - known_at >= CHECK_S * self._random.uniform(1.0, 1.0 + CHECK_SPREAD):
                due.append((known_at, name, target))
        return [target for *_, target in sorted(due, key=lambda entry: entry[:2])]

    async def _check(self, target: Target) -> None:
        """Request a target's health answer, apply it, and queue a notice of its cold state."""
        path = self._find_health_path(target)
        if not path:
            return
        client = HttpClient(target.record.address)
        headers = [(self._names.expected_incarnation, target.name.encode())]
        try:
            answer = await client.call(
                "GET",
                path,
                headers=headers,
                timeout_s=CHECK_TIMEOUT_S,
                max_bytes=MAX_HEALTH_BYTES,
            )
        except HttpCallError as exc:
            self._metrics.add_health_check("failed")
            self._log.event("targets", "Health check failed.", target=target.name, cause=str(exc))
            return
        finally:
            client.close()
        if find(answer.headers, self._names.incarnation) == target.name.encode():
            now = asyncio.get_running_loop().time()
            self._read_statement(target, answer.status, answer.headers, now)
        notice = self._read_answer(target, answer)
        self._metrics.add_health_check("unreadable" if notice is None else "ok")
        if notice is not None:
            self._apply(notice, source="health check")
            self._pending[notice.target] = notice

    def _find_health_path(self, target: Target) -> str:
        """Return the path of a target's health check; empty where its service has no cold rate."""
        routing = self._catalog.routing
        service = routing.services.get(target.record.service) if routing is not None else None
        return service.health_path if service is not None and service.cold_rate_per_s > 0 else ""

    def _read_answer(self, target: Target, answer: HttpAnswer) -> ColdNotice | None:
        """Return a notice of how long a target is cold; None where its answer is unusable."""
        if find(answer.headers, self._names.incarnation) != target.name.encode():
            return None
        try:
            left_ms = parse_float(
                find(answer.headers, self._names.cold_ms) or b"0",
                lowest=0.0,
                highest=MAX_COLD_MS,
                origin="cold state",
            )
        except DecodingError:
            return None
        return ColdNotice(target.name, target.record.started_ms, left_ms / 1000)
