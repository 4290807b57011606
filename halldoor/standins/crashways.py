"""Strategies for counting a request's target crashes over all entries of a simulated fleet."""

from __future__ import annotations

from functools import partial

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import CrashHistory, Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.quarantine import Audience, Message, Quarantine
from halldoor.core.quarantine.record import EvidenceRecord, from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.standins.crashfleet import CountingWay, Run

SETTINGS = QuarantineSettings()
CALLER = "c"
WATCH_S = (0.05, 1.2)
"""Shortest and longest time until an entry receives a change of the store, in seconds."""
STORE_S = 0.02
"""Duration of a call to the store, in seconds."""


class NoSum(CountingWay):
    """Entries count no crashes and block no requests."""

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Ignore the crash."""
        return

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Block nothing."""
        return False


class OwnSum(CountingWay):
    """Each entry counts only the crashes that it saw itself."""

    def start(self, run: Run) -> None:
        """Start without any counted crash."""
        super().start(run)
        self.cases: list[dict[str, CrashHistory]] = [{} for _ in range(run.fleet.entries)]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash at this entry."""
        self.cases[entry].setdefault(digest, CrashHistory(digest)).add_crash(target, CALLER, now)

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Clear the earlier crashes of the request, since a target answered it."""
        case = self.cases[entry].get(digest)
        if case is not None:
            case.record_answer(now)

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Check whether the crashes counted at this entry block the request."""
        case = self.cases[entry].get(digest)
        return case is not None and case.is_blocked(SETTINGS)


class TellAll(OwnSum):
    """Each entry sends every crash to all others; nothing is stored."""

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash, and send the evidence to all other entries."""
        super().note_end(now, entry, digest, target)
        evidence = self.cases[entry][digest].build_evidence(now)
        for other in range(self.run.fleet.entries):
            if other != entry:
                self.run.tell(now, entry, other, self._hear, evidence)

    def _hear(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge evidence from another entry."""
        case = self.cases[entry].setdefault(evidence.digest, CrashHistory(evidence.digest))
        case.merge(evidence, now)


class StoreSum(OwnSum):
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
        for digest, case in records.items():
            for cases in self.cases:
                cases[digest] = CrashHistory(digest)
                cases[digest].merge(case.build_evidence(now), now)

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count the crash, and add it to the record in the store."""
        super().note_end(now, entry, digest, target)
        self._write(now, digest, target)

    def _write(self, now: float, digest: str, target: str) -> None:
        """Add a crash to the record with one read and one write; retry while the store is down."""
        self.run.store_calls += 2
        if self.run.is_store_away(now):
            self.run.at(now + 0.5, self._write, digest, target)
            return
        record = self.records.setdefault(digest, CrashHistory(digest))
        if record.add_crash(target, CALLER, now):
            evidence = record.build_evidence(now)
            for other in range(self.run.fleet.entries):
                heard_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
                self.run.at(heard_at, self._hear, other, evidence)

    def _hear(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge a record read from the store."""
        self.cases[entry].setdefault(evidence.digest, CrashHistory(evidence.digest)).merge(
            evidence, now
        )


class Collectors(CountingWay):
    """The product's quarantine without the store: collectors count and notify all entries."""

    def start(self, run: Run) -> None:
        """Start without any counted crash."""
        super().start(run)
        self._by_name = {m.name: i for i, m in enumerate(run.members)}
        self._collectors: dict[tuple[str, str], list[str]] = {}
        self._parts = [
            Quarantine(m.name, SETTINGS, partial(self._find_collectors, m.hall))
            for m in run.members
        ]

    def _find_collectors(self, hall: str, digest: str) -> list[str]:
        """Return the collectors of a request for entries of a hall, chosen as in the product."""
        if (hall, digest) not in self._collectors:
            self._collectors[hall, digest] = choose_collectors(digest, hall, self.run.members)
        return self._collectors[hall, digest]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Record the crash in the entry's quarantine."""
        self._parts[entry].record_crash(Identity(digest, CALLER), target, now)
        self._poll(now, entry, self._parts[entry])

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Record the answer in the entry's quarantine."""
        self._parts[entry].record_answer(digest, now)
        self._poll(now, entry, self._parts[entry])

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Check whether the entry's quarantine blocks the request."""
        return self._parts[entry].find_block(Identity(digest, CALLER), now) is not None

    def _poll(self, now: float, entry: int, part: Quarantine) -> None:
        """Send due messages, write due records, and schedule the next poll."""
        if part is not self._parts[entry]:
            return  # The entry has restarted since this poll was scheduled.
        for message in part.pop_messages(now):
            is_for_all = isinstance(message.to, Audience)
            for other in self._list_recipients(entry, message):
                self.run.tell(now, entry, other, self._hear, message.evidence, is_for_all)
        while (evidence := part.pop_due_record(now)) is not None:
            self._record(now, part, evidence)
        due_at = part.find_due()
        if due_at is not None:
            self.run.at(max(now + 0.001, due_at), self._poll, entry, part)

    def _list_recipients(self, entry: int, message: Message) -> list[int]:
        """List the entries that a message goes to."""
        if not isinstance(message.to, Audience):
            return [self._by_name[name] for name in message.to]
        members = self.run.members
        others = [i for i in range(len(members)) if i != entry]
        if message.to is Audience.FLEET:
            return others
        return [i for i in others if members[i].hall == members[entry].hall]

    def _hear(self, now: float, entry: int, evidence: Evidence, is_for_all: bool) -> None:
        """Merge the evidence of a message into the entry's quarantine."""
        self._parts[entry].merge_evidence(evidence, now, is_broadcast=is_for_all)
        self._poll(now, entry, self._parts[entry])

    def _record(self, now: float, part: Quarantine, evidence: Evidence) -> None:
        """Confirm the record without writing it, since there is no store."""
        part.confirm_record(evidence)


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
                self._watch(now, entry, record)

    def _record(self, now: float, part: Quarantine, evidence: Evidence) -> None:
        """Write a record, at the cost of one call for the lease and one for the record."""
        self.run.store_calls += 2
        if self.run.is_store_away(now):
            part.retry_record(evidence.digest, now + 0.5)
            return
        part.confirm_record(evidence)
        record = to_record(evidence, round(now * 1000))
        self._records[evidence.digest] = record
        for entry in range(self.run.fleet.entries):
            heard_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
            self.run.at(heard_at, self._watch, entry, record)

    def _watch(self, now: float, entry: int, record: EvidenceRecord) -> None:
        """Merge a record from the store into the entry's quarantine."""
        self._parts[entry].merge_record(from_record(record, round(now * 1000)), now)
        self._poll(now, entry, self._parts[entry])
