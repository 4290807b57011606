"""Reads from answers that a target is leaving (about to stop), and notifies other entries.

So other entries stop sending requests to the target before it stops.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.leaving import LEAVING_NOTICE_S, LeavingNotice
from halldoor.core.targets.statement import SEPARATOR, TargetStatement
from halldoor.core.targets.target import Target
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender

PERIOD_S = 0.25
"""Time between two messages, in seconds."""
REPEATS = 3
"""Number of messages that carry a statement, since one may be lost."""
LEAVING = b"1"
"""Header value of a target that is leaving."""
STAYING = {b"", b"0"}
"""Header values of a target that is not leaving."""


class _Pending(NamedTuple):
    """A target's statement that is still to be sent.

    Attributes
    ----------
    started_ms : int
        Start of the target's process, in Unix milliseconds.
    said_at : float
        When the target's answer arrived at the first entry, on the loop's clock.
    left : int
        Number of messages that are still to carry it.
    """

    started_ms: int
    said_at: float
    left: int = REPEATS


class LeavingExchange:
    """Task that notifies other entries of targets that leave, and applies their notices.

    Parameters
    ----------
    catalog : Catalog
        Holds the targets and the other entries.
    sender, port : NoticeSender, DatagramPort
        Send messages to other entries and receive theirs.
    """

    def __init__(
        self,
        catalog: Catalog,
        sender: NoticeSender,
        port: DatagramPort,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._sender = sender
        self._log = log
        self._metrics = metrics
        self._pending: dict[str, _Pending] = {}
        port.register_receiver(MessageKind.LEAVING, list[LeavingNotice], self._receive)

    def apply_statement(self, target: Target, statement: TargetStatement, now: float) -> None:
        """Mark a target as leaving if its answer states it, and queue notices to other entries."""
        values = set(statement.leaving.split(SEPARATOR))
        if values <= STAYING:
            return
        if LEAVING not in values:
            self._metrics.add_bad_statement("leaving")
            cause = f"leaving: {statement.to_fields()['leaving']!r}"
            self._log.event("targets", "Bad statement.", target=target.name, cause=cause)
            return
        started_ms = target.record.started_ms
        if self._catalog.add_leaving(target.name, started_ms):
            self._record_leaving(target.name, started_ms, now, now, source="answer")

    def reset(self) -> None:
        """Drop the queued notices; statements that were applied stay in force."""
        self._pending = {}

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            now = asyncio.get_running_loop().time()
            pending = self._pending
            self._sender.send(
                MessageKind.LEAVING,
                [LeavingNotice(t, p.started_ms, now - p.said_at) for t, p in pending.items()],
            )
            self._pending = {
                t: p._replace(left=p.left - 1) for t, p in pending.items() if p.left > 1
            }

    def _receive(self, notices: list[LeavingNotice], sender: Address) -> None:
        """Apply the notices of another entry, and relay those that are new here."""
        now = asyncio.get_running_loop().time()
        for notice in notices:
            if not notice.is_valid or notice.age_s >= LEAVING_NOTICE_S:
                continue
            target = self._catalog.find_target(notice.target)
            if target is None or target.record.started_ms != notice.started_ms:
                continue
            said_at = now - notice.age_s
            until = said_at + LEAVING_NOTICE_S
            if self._catalog.add_leaving(target.name, notice.started_ms, until=until):
                self._record_leaving(
                    target.name, notice.started_ms, said_at, now, source=str(sender)
                )

    def _record_leaving(
        self, target: str, started_ms: int, said_at: float, now: float, *, source: str
    ) -> None:
        """Log a statement that is new here, and queue it for the next messages."""
        self._pending[target] = _Pending(started_ms, said_at)
        self._log.event(
            "targets",
            "The target is leaving.",
            target=target,
            source=source,
            age_ms=round((now - said_at) * 1000),
        )
