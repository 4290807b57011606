"""Ways to know, over all entries of a model fleet, that targets end under a request."""

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
"""Shortest and longest time until an entry hears of a change in the store, in seconds."""
STORE_S = 0.02
"""Time of a call to the store, in seconds."""


class NoSum(CountingWay):
    """Each sending is judged by itself."""

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Forget it."""
        return

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Send whatever comes."""
        return False


class OwnSum(CountingWay):
    """Each entry counts what it sees itself."""

    def start(self, run: Run) -> None:
        """Begin with nothing known."""
        super().start(run)
        self.cases: list[dict[str, CrashHistory]] = [{} for _ in range(run.fleet.entries)]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count it."""
        self.cases[entry].setdefault(digest, CrashHistory(digest)).add_crash(target, CALLER, now)

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Clear the request of the ends before."""
        case = self.cases[entry].get(digest)
        if case is not None:
            case.record_answer(now)

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Go by what is counted here."""
        case = self.cases[entry].get(digest)
        return case is not None and case.is_blocked(SETTINGS)


class TellAll(OwnSum):
    """Each entry tells all others of each end; nothing is kept."""

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count it, and tell the others."""
        super().note_end(now, entry, digest, target)
        evidence = self.cases[entry][digest].build_evidence(now)
        for other in range(self.run.fleet.entries):
            if other != entry:
                self.run.tell(now, entry, other, self._hear, evidence)

    def _hear(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge what another entry knows."""
        case = self.cases[entry].setdefault(evidence.digest, CrashHistory(evidence.digest))
        case.merge(evidence, now)


class StoreSum(OwnSum):
    """Each end is added to a record in the store, which all entries watch."""

    def start(self, run: Run) -> None:
        """Begin with an empty store."""
        super().start(run)
        self.records: dict[str, CrashHistory] = {}

    def restart(self, now: float) -> None:
        """Start every entry again; the store holds on."""
        records = self.records
        self.start(self.run)
        self.records = records
        for digest, case in records.items():
            for cases in self.cases:
                cases[digest] = CrashHistory(digest)
                cases[digest].merge(case.build_evidence(now), now)

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count it, and add it to the record: one call to read and one to write."""
        super().note_end(now, entry, digest, target)
        self._write(now, digest, target)

    def _write(self, now: float, digest: str, target: str) -> None:
        """Add an end to the record; once more while the store is away."""
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
        """Merge the record."""
        self.cases[entry].setdefault(evidence.digest, CrashHistory(evidence.digest)).merge(
            evidence, now
        )


class Collectors(CountingWay):
    """The product's way without the store: a few count for all, and tell all."""

    def start(self, run: Run) -> None:
        """Begin with nothing known."""
        super().start(run)
        self._by_name = {m.name: i for i, m in enumerate(run.members)}
        self._collectors: dict[tuple[str, str], list[str]] = {}
        self._parts = [
            Quarantine(m.name, SETTINGS, partial(self._find_collectors, m.hall))
            for m in run.members
        ]

    def _find_collectors(self, hall: str, digest: str) -> list[str]:
        """Find the collectors of a request, as the product does."""
        if (hall, digest) not in self._collectors:
            self._collectors[hall, digest] = choose_collectors(digest, hall, self.run.members)
        return self._collectors[hall, digest]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Let the entry's part see it."""
        self._parts[entry].record_crash(Identity(digest, CALLER), target, now)
        self._poll(now, entry, self._parts[entry])

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Let the entry's part see it."""
        self._parts[entry].record_answer(digest, now)
        self._poll(now, entry, self._parts[entry])

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Ask the entry's part."""
        return self._parts[entry].find_block(Identity(digest, CALLER), now) is not None

    def _poll(self, now: float, entry: int, part: Quarantine) -> None:
        """Send and record what is due, and come back when more is."""
        if part is not self._parts[entry]:
            return  # It started again meanwhile.
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
        """Let the entry's part take a message."""
        self._parts[entry].merge_evidence(evidence, now, is_broadcast=is_for_all)
        self._poll(now, entry, self._parts[entry])

    def _record(self, now: float, part: Quarantine, evidence: Evidence) -> None:
        """Keep nothing."""
        part.confirm_record(evidence)


class CollectorsAndRecord(Collectors):
    """The product's way: what collectors know is recorded in the store, too."""

    def start(self, run: Run) -> None:
        """Begin with an empty store."""
        super().start(run)
        self._records: dict[str, EvidenceRecord] = {}

    def restart(self, now: float) -> None:
        """Start every entry again; each reads the store."""
        records = self._records
        self.start(self.run)
        self._records = records
        for record in records.values():
            for entry in range(self.run.fleet.entries):
                self._watch(now, entry, record)

    def _record(self, now: float, part: Quarantine, evidence: Evidence) -> None:
        """Write a record: a call for the lease, and one for the record."""
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
        """Let the entry's part take a record."""
        self._parts[entry].merge_record(from_record(record, round(now * 1000)), now)
        self._poll(now, entry, self._parts[entry])
