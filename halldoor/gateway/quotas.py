"""Exchange counts and shares of teams' quotas between entries."""

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
    """Report to the collectors, and collect where this entry is one.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
    access : CallerAccess
        Where the limits in force and this entry's counts are.
    port : DatagramPort
        Messages of other entries.
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
        port.receive(MessageKind.QUOTA_REPORT, Report, self._receive_report)
        port.receive(MessageKind.QUOTA_SHARES, Shares, self._receive_shares)

    async def run(self) -> None:
        """Report in each period, as long as any team has a limit."""
        while True:
            entries = self._catalog.count_members()
            await asyncio.sleep(find_period(entries))
            self._follow_routing()
            if self._gate.has_limits:
                self._choose_collectors()
                self._send_report()

    def _follow_routing(self) -> None:
        """Use the limits in force."""
        table = self._access.find_table()
        if table is not self._table and table is not None:
            self._table = table
            now = asyncio.get_running_loop().time()
            self._ledger.use(table.teams.get_limits(), now)

    def _choose_collectors(self) -> None:
        """Choose who collects, alike on every entry that knows the same others."""
        if self._members_version == self._catalog.members_version:
            return
        self._members_version = self._catalog.members_version
        known = {m.name: m for m in self._catalog.members.values() if m.relay is not None}
        chosen = [known[name] for name in rank("quotas", known)[:COLLECTORS]]
        if chosen != self._collectors:
            self._collectors = chosen
            self._log.event("quotas", "Reports.", collectors=[m.name for m in chosen])

    def _send_report(self) -> None:
        """End a period and report it."""
        report = self._gate.close_period()
        for collector in self._collectors:
            if collector.name == self._own.name:
                answer = self._collect(report)
                if answer is not None:
                    self._take_answer(answer, place=self._collectors.index(collector))
            else:
                self._port.send(MessageKind.QUOTA_REPORT, report, collector.relay)

    def _collect(self, report: Report) -> Shares | None:
        """Count a report, and answer it; None where too little was counted yet."""
        now = asyncio.get_running_loop().time()
        self._ledger.take(report, now)
        entries = self._catalog.count_members()
        period_s = find_period(entries)
        if not report.periods or self._ledger.is_young(now, period_s=period_s):
            return None
        shares = self._ledger.compute_shares(now, entries=entries, period_s=period_s)
        return Shares(report.periods[-1].number, shares)

    def _receive_report(self, report: Report, sender: Address) -> None:
        """Take another entry's report."""
        self._follow_routing()
        answer = self._collect(report)
        if answer is not None:
            self._port.send(MessageKind.QUOTA_SHARES, answer, sender)

    def _receive_shares(self, answer: Shares, sender: Address) -> None:
        """Take a collector's answer."""
        self._take_answer(answer, place=self._find_place(sender))

    def _find_place(self, address: Address) -> int:
        """Return a collector's place in their order; past the last where it is none."""
        addresses = [m.relay for m in self._collectors]
        return addresses.index(address) if address in addresses else len(addresses)

    def _take_answer(self, answer: Shares, *, place: int) -> None:
        """Take an answer of the first collector; of another only while the first is silent."""
        now = asyncio.get_running_loop().time()
        handover_s = HANDOVER_PERIODS * find_period(self._catalog.count_members())
        is_first = place == 0
        if not is_first and now - self._first_answer_at <= handover_s:
            return
        if place < len(self._collectors) and self._gate.take(answer, now) and is_first:
            self._first_answer_at = now
