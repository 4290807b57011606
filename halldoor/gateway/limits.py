"""Read the limits that targets name, and exchange them with other entries."""

from __future__ import annotations

import asyncio

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.limits import LimitNotice, LimitTable, parse_limit
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.targets.target import Target
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender

PERIOD_S = 0.25
"""Time between two messages, in seconds."""
REFRESH_S = 2.0
"""Time after which a limit that still holds is sent again, in seconds, so that others don't have to
find out by requests of their own, and that a lost message is made up for."""


class LimitExchange:
    """The task that notifies other entries of limits, and applies their notices.

    Parameters
    ----------
    catalog : Catalog
        Targets and other entries.
    limits : LimitTable
        The limits that are known.
    sender, port : NoticeSender, DatagramPort
        Messages to and of other entries.
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
        self._waiting: dict[str, LimitNotice] = {}
        self._noticed_at: dict[str, float] = {}
        port.receive(MessageKind.LIMITS, list[LimitNotice], self._receive)

    def apply_statement(self, target: Target, statement: TargetStatement, now: float) -> None:
        """Apply whether a target's answer names a limit."""
        value = statement.limit
        if not value and not self._limits.names_limit(target.name):
            return  # As nearly all answers.
        try:
            limit_per_s = parse_limit(value)
        except ValueError as exc:
            self._metrics.add_bad_limit()
            self._log.event("targets", "Bad limit.", target=target.name, cause=str(exc))
            return
        is_news = self._apply(target, limit_per_s, now, now, source="answer")
        if is_news or now - self._noticed_at.get(target.name, 0.0) >= REFRESH_S:
            self._noticed_at[target.name] = now
            started_ms = target.record.started_ms
            self._waiting[target.name] = LimitNotice(target.name, started_ms, limit_per_s, 0.0)

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._limits.forget(target)
        self._waiting.pop(target, None)
        self._noticed_at.pop(target, None)

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            now = asyncio.get_running_loop().time()
            waiting, self._waiting = self._waiting, {}
            notices = [
                notice._replace(age_s=now - self._noticed_at[name])
                for name, notice in waiting.items()
            ]
            self._sender.send(MessageKind.LIMITS, notices)

    def _receive(self, notices: list[LimitNotice], sender: Address) -> None:
        """Apply the notices of another entry."""
        now = asyncio.get_running_loop().time()
        for notice in notices:
            target = self._catalog.find_target(notice.target)
            if target is None or notice.started_ms != target.record.started_ms:
                continue
            if notice.is_valid:
                said_at = now - notice.age_s
                self._apply(target, notice.limit_per_s, said_at, now, source=str(sender))

    def _apply(
        self, target: Target, limit_per_s: float | None, said_at: float, now: float, *, source: str
    ) -> bool:
        """Apply what a target said, and log it where it is news."""
        entries = self._catalog.count_sharers(now)
        if not self._limits.add(target.name, limit_per_s, said_at, entries=entries):
            return False
        self._log.event(
            "targets",
            "Limit ended." if limit_per_s is None else "Names a limit.",
            target=target.name,
            limit_per_s=limit_per_s,
            entries=entries,
            source=source,
            age_ms=round((now - said_at) * 1000),
        )
        return True
