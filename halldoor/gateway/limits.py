"""Rate limits that targets set in their answers, exchanged with the other entries."""

from __future__ import annotations

import asyncio

from halldoor.core.decoding import DecodingError
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.limits import LimitNotice, LimitTable, parse_limit
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.targets.target import Target
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender

SEND_INTERVAL_S = 0.25
"""Interval between messages, in seconds."""
REPEAT_INTERVAL_S = 2.0
"""Interval at which an unchanged limit is sent again, in seconds, so that other entries know it
without sending requests to the target, and a lost message is replaced."""


class LimitExchange:
    """Task that sends limits to other entries and applies the limits that they send.

    Parameters
    ----------
    catalog : Catalog
        Targets and other entries.
    limits : LimitTable
        Table of current limits, to update.
    sender, port : NoticeSender, DatagramPort
        Sends messages to other entries, and receives theirs.
    """

    def __init__(
        self,
        catalog: Catalog,
        limits: LimitTable,
        sender: NoticeSender,
        port: DatagramPort,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._limits = limits
        self._sender = sender
        self._log = log
        self._metrics = metrics
        self._queued: dict[str, LimitNotice] = {}
        self._queued_at: dict[str, float] = {}
        port.register_receiver(MessageKind.LIMITS, list[LimitNotice], self._receive)

    def apply_statement(self, target: Target, statement: TargetStatement, now: float) -> None:
        """Apply the limit in a target's answer, or its absence, and queue a notice of it."""
        value = statement.limit
        if not value and not self._limits.has_limit(target.name):
            return  # Most answers have no limit.
        try:
            limit_per_s = parse_limit(value)
        except DecodingError as exc:
            self._metrics.add_bad_limit()
            self._log.event(
                "targets",
                "A target sent an unreadable limit.",
                target=target.name,
                cause=exc.message,
            )
            return
        has_changed = self._apply(target, limit_per_s, now, now, source="answer")
        if has_changed or now - self._queued_at.get(target.name, 0.0) >= REPEAT_INTERVAL_S:
            self._queued_at[target.name] = now
            started_ms = target.record.started_ms
            self._queued[target.name] = LimitNotice(target.name, started_ms, limit_per_s, 0.0)

    def forget(self, target: str) -> None:
        """Delete the limit and the queued notice of a removed target."""
        self._limits.forget(target)
        self._queued.pop(target, None)
        self._queued_at.pop(target, None)

    def reset(self) -> None:
        """Drop the queued notices; targets repeat their limits in later answers."""
        self._queued = {}
        self._queued_at = {}

    async def run(self) -> None:
        """Send queued notices every `SEND_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            queued, self._queued = self._queued, {}
            notices = [
                notice._replace(age_s=now - self._queued_at[name])
                for name, notice in queued.items()
            ]
            self._sender.send(MessageKind.LIMITS, notices)

    def _receive(self, notices: list[LimitNotice], sender: Address) -> None:
        """Apply the notices of another entry about targets that have not restarted since."""
        now = asyncio.get_running_loop().time()
        for notice in notices:
            target = self._catalog.find_target(notice.target)
            if target is None or notice.started_ms != target.record.started_ms:
                continue
            if notice.is_valid:
                stated_at = now - notice.age_s
                self._apply(target, notice.limit_per_s, stated_at, now, source=str(sender))

    def _apply(
        self,
        target: Target,
        limit_per_s: float | None,
        stated_at: float,
        now: float,
        *,
        source: str,
    ) -> bool:
        """Apply a limit, or None for its end; return whether it changed, and log the change.

        Parameters
        ----------
        stated_at : float
            When the target sent the limit, on the loop's clock.
        source : str
            ``answer``, or the address of the entry that sent the notice.
        """
        entries = self._catalog.count_sharers(now)
        if not self._limits.add(target.name, limit_per_s, stated_at, entries=entries):
            return False
        self._log.event(
            "targets",
            "A target removed its limit." if limit_per_s is None else "A target set a limit.",
            target=target.name,
            limit_per_s=limit_per_s,
            entries=entries,
            source=source,
            age_ms=round((now - stated_at) * 1000),
        )
        return True
