"""Strategies for counting a request's target crashes over all entries of a simulated fleet."""

from __future__ import annotations

from functools import partial

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import CrashHistory, Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.message import Audience, Message
from halldoor.core.quarantine.quarantine import Quarantine
from halldoor.core.quarantine.record import EvidenceRecord, from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.standins.crashfleet import CrashCounting, Run

SETTINGS = QuarantineSettings()
CALLER = "c"
"""Caller of every request."""
WATCH_S = (0.05, 1.2)
"""Shortest and longest time until an entry receives a change of the store, in seconds."""
STORE_S = 0.02
"""Duration of a call to the store, in seconds."""


class NoCounting(CrashCounting):
    """Entries count no crashes and block no requests."""

    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Ignore the crash."""
        return

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Block nothing."""
        return False


class LocalCounting(CrashCounting):
    """Each entry counts only the crashes that it saw itself."""

    def start(self, run: Run) -> None:
        """Start without any counted crash."""
        super().start(run)
        self.histories: list[dict[str, CrashHistory]] = [{} for _ in range(run.fleet.entries)]

    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash at this entry."""
        self.histories[entry].setdefault(digest, CrashHistory(digest)).add_crash(
            target, CALLER, now
        )

    def record_answer(self, now: float, entry: int, digest: str) -> None:
        """Clear the earlier crashes of the request, since a target answered it."""
        history = self.histories[entry].get(digest)
        if history is not None:
            history.record_answer(now)

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Check whether the crashes counted at this entry block the request."""
        history = self.histories[entry].get(digest)
        return history is not None and history.is_blocked(SETTINGS)


class BroadcastCounting(LocalCounting):
    """Each entry sends every crash to all others; nothing is stored."""

    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash, and send the evidence to all other entries."""
        super().record_crash(now, entry, digest, target)
        evidence = self.histories[entry][digest].build_evidence(now)
        for other in range(self.run.fleet.entries):
            if other != entry:
                self.run.send(now, entry, other, self._receive, evidence)

    def _receive(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge evidence from another entry."""
        history = self.histories[entry].setdefault(evidence.digest, CrashHistory(evidence.digest))
        history.merge(evidence, now)


class StoreCounting(LocalCounting):
    """Each crash is added to a record in the store, which all entries watch."""

    def start(self, run: Run) -> None:
        """Start with an empty store."""
        super().start(run)
        self.records: dict[str, CrashHistory] = {}

    def restart(self, now: float) -> None:
        """Restart every entry; each loads the records from the store."""
        records = self.records
        self.start(self.run)
        self.records = records
        for digest, history in records.items():
            for histories in self.histories:
                histories[digest] = CrashHistory(digest)
                histories[digest].merge(history.build_evidence(now), now)

    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash, and add it to the record in the store."""
        super().record_crash(now, entry, digest, target)
        self._write(now, digest, target)

    def _write(self, now: float, digest: str, target: str) -> None:
        """Add a crash to the record with one read and one write; retry while the store is down."""
        self.run.store_calls += 2
        if self.run.is_store_down(now):
            self.run.schedule(now + 0.5, self._write, digest, target)
            return
        record = self.records.setdefault(digest, CrashHistory(digest))
        if record.add_crash(target, CALLER, now):
            evidence = record.build_evidence(now)
            for other in range(self.run.fleet.entries):
                received_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
                self.run.schedule(received_at, self._receive, other, evidence)

    def _receive(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge a record read from the store."""
        self.histories[entry].setdefault(evidence.digest, CrashHistory(evidence.digest)).merge(
            evidence, now
        )


class Collectors(CrashCounting):
    """The product's quarantine without the store: collectors count and notify all entries."""

    def start(self, run: Run) -> None:
        """Start without any counted crash."""
        super().start(run)
        self._by_name = {m.name: i for i, m in enumerate(run.members)}
        self._collectors: dict[tuple[str, str], list[str]] = {}
        self._quarantines = [
            Quarantine(m.name, SETTINGS, partial(self._find_collectors, m.hall))
            for m in run.members
        ]

    def _find_collectors(self, hall: str, digest: str) -> list[str]:
        """Return the collectors of a request for entries of a hall, chosen as in the product."""
        if (hall, digest) not in self._collectors:
            self._collectors[hall, digest] = choose_collectors(digest, hall, self.run.members)
        return self._collectors[hall, digest]

    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Record the crash in the entry's quarantine."""
        self._quarantines[entry].record_crash(Identity(digest, CALLER), target, now)
        self._poll(now, entry, self._quarantines[entry])

    def record_answer(self, now: float, entry: int, digest: str) -> None:
        """Record the answer in the entry's quarantine."""
        self._quarantines[entry].record_answer(digest, now)
        self._poll(now, entry, self._quarantines[entry])

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Check whether the entry's quarantine blocks the request."""
        return self._quarantines[entry].find_block(Identity(digest, CALLER), now) is not None

    def _poll(self, now: float, entry: int, quarantine: Quarantine) -> None:
        """Send due messages, write due records, and schedule the next poll."""
        if quarantine is not self._quarantines[entry]:
            return  # The entry has restarted since this poll was scheduled.
        for message in quarantine.pop_messages(now):
            is_for_all = isinstance(message.to, Audience)
            for other in self._list_recipients(entry, message):
                self.run.send(now, entry, other, self._receive, message.evidence, is_for_all)
        while (evidence := quarantine.pop_due_record(now)) is not None:
            self._record(now, quarantine, evidence)
        due_at = quarantine.find_due()
        if due_at is not None:
            self.run.schedule(max(now + 0.001, due_at), self._poll, entry, quarantine)

    def _list_recipients(self, entry: int, message: Message) -> list[int]:
        """List the entries that a message goes to."""
        if not isinstance(message.to, Audience):
            return [self._by_name[name] for name in message.to]
        members = self.run.members
        others = [i for i in range(len(members)) if i != entry]
        if message.to is Audience.FLEET:
            return others
        return [i for i in others if members[i].hall == members[entry].hall]

    def _receive(self, now: float, entry: int, evidence: Evidence, is_for_all: bool) -> None:
        """Merge the evidence of a message into the entry's quarantine."""
        self._quarantines[entry].merge_evidence(evidence, now, is_broadcast=is_for_all)
        self._poll(now, entry, self._quarantines[entry])

    def _record(self, now: float, quarantine: Quarantine, evidence: Evidence) -> None:
        """Confirm the record without writing it, since there is no store."""
        quarantine.confirm_record(evidence)


class CollectorsAndRecord(Collectors):
    """The product's quarantine: collectors also write the evidence to the store."""

    def start(self, run: Run) -> None:
        """Start with an empty store."""
        super().start(run)
        self._records: dict[str, EvidenceRecord] = {}

    def restart(self, now: float) -> None:
        """Restart every entry; each reads the records from the store."""
        records = self._records
        self.start(self.run)
        self._records = records
        for record in records.values():
            for entry in range(self.run.fleet.entries):
                self._receive_record(now, entry, record)

    def _record(self, now: float, quarantine: Quarantine, evidence: Evidence) -> None:
        """Write a record, at the cost of one call for the lease and one for the record."""
        self.run.store_calls += 2
        if self.run.is_store_down(now):
            quarantine.retry_record(evidence.digest, now + 0.5)
            return
        quarantine.confirm_record(evidence)
        record = to_record(evidence, round(now * 1000))
        self._records[evidence.digest] = record
        for entry in range(self.run.fleet.entries):
            received_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
            self.run.schedule(received_at, self._receive_record, entry, record)

    def _receive_record(self, now: float, entry: int, record: EvidenceRecord) -> None:
        """Merge a record from the store into the entry's quarantine."""
        self._quarantines[entry].merge_record(from_record(record, round(now * 1000)), now)
        self._poll(now, entry, self._quarantines[entry])
