"""Exchange of request counts and quota shares between entries.

Each entry reports its requests by team to the collectors, which return each entry's share of the
quotas.
"""

from __future__ import annotations

import asyncio

from halldoor.core.placement import rank
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.teams.gate import QuotaGate
from halldoor.core.teams.ledger import QuotaLedger
from halldoor.core.teams.quota import COLLECTORS, HANDOVER_PERIODS, Report, Shares, find_period
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog


class QuotaExchange:
    """Task that reports counts to the collectors, and computes shares if this entry is one.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Provides the other entries.
    access : CallerAccess
        Provides the current limits and this entry's counts.
    port : DatagramPort
        Sends and receives messages between entries.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        access: CallerAccess,
        port: DatagramPort,
        *,
        log: EventLog,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._access = access
        self._gate: QuotaGate = access.gate
        self._ledger = QuotaLedger()
        self._log = log
        self._port = port
        self._collectors: list[MemberRecord] = []
        self._members_version = -1
        self._table: object = None
        self._first_answer_at = 0.0
        port.register_receiver(MessageKind.QUOTA_REPORT, Report, self._receive_report)
        port.register_receiver(MessageKind.QUOTA_SHARES, Shares, self._receive_shares)

    def reset(self) -> None:
        """Drop the collected counts; entries report theirs again in the next period."""
        self._ledger = QuotaLedger()
        self._table = None
        self._collectors = []
        self._members_version = -1

    async def run(self) -> None:
        """Send a report in each period while any team has a limit, until cancelled."""
        while True:
            entries = self._catalog.count_members()
            await asyncio.sleep(find_period(entries))
            self._update_limits()
            if self._gate.has_limits:
                self._choose_collectors()
                self._send_report()

    def _update_limits(self) -> None:
        """Apply the limits of the current configuration to the ledger."""
        table = self._access.find_table()
        if table is not self._table and table is not None:
            self._table = table
            now = asyncio.get_running_loop().time()
            self._ledger.set_limits(table.teams.get_limits(), now)

    def _choose_collectors(self) -> None:
        """Choose the collectors; entries with the same list of entries choose the same ones."""
        if self._members_version == self._catalog.members_version:
            return
        self._members_version = self._catalog.members_version
        candidates = {m.name: m for m in self._catalog.members.values() if m.relay is not None}
        chosen = [candidates[name] for name in rank("quotas", candidates)[:COLLECTORS]]
        if chosen != self._collectors:
            self._collectors = chosen
            self._log.event("quotas", "Reports.", collectors=[m.name for m in chosen])

    def _send_report(self) -> None:
        """Close the current period and report its counts to the collectors."""
        report = self._gate.close_period()
        for collector in self._collectors:
            if collector.name == self._own.name:
                answer = self._collect(report)
                if answer is not None:
                    self._apply_shares(answer, collector_rank=self._collectors.index(collector))
            else:
                self._port.send(MessageKind.QUOTA_REPORT, report, collector.relay)

    def _collect(self, report: Report) -> Shares | None:
        """Add a report to the ledger and return shares; None while the ledger is too new."""
        now = asyncio.get_running_loop().time()
        self._ledger.add_report(report, now)
        entries = self._catalog.count_members()
        period_s = find_period(entries)
        if not report.periods or self._ledger.is_newly_started(now, period_s=period_s):
            return None
        shares = self._ledger.compute_shares(now, entries=entries, period_s=period_s)
        return Shares(report.periods[-1].number, shares)

    def _receive_report(self, report: Report, sender: Address) -> None:
        """Collect another entry's report and send the shares back."""
        self._update_limits()
        answer = self._collect(report)
        if answer is not None:
            self._port.send(MessageKind.QUOTA_SHARES, answer, sender)

    def _receive_shares(self, answer: Shares, sender: Address) -> None:
        """Apply the shares sent by a collector."""
        self._apply_shares(answer, collector_rank=self._find_collector_rank(sender))

    def _find_collector_rank(self, address: Address) -> int:
        """Return a collector's rank from 0; the number of collectors if it is not one."""
        addresses = [m.relay for m in self._collectors]
        return addresses.index(address) if address in addresses else len(addresses)

    def _apply_shares(self, answer: Shares, *, collector_rank: int) -> None:
        """Apply shares of the first collector; those of others only while the first is silent."""
        now = asyncio.get_running_loop().time()
        handover_s = HANDOVER_PERIODS * find_period(self._catalog.count_members())
        is_first = collector_rank == 0
        if not is_first and now - self._first_answer_at <= handover_s:
            return
        if (
            collector_rank < len(self._collectors)
            and self._gate.apply_answer(answer, now)
            and is_first
        ):
            self._first_answer_at = now
