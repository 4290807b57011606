"""Ways to know, over a fleet of entries, that targets end under a request; in virtual time.

A model for tests and measurements: callers that come at random, targets that end and come back,
messages with delays, losses and cuts between halls, a store that may be away, and the product's own
quarantine as one of the ways.
"""

from __future__ import annotations

import heapq
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

from halldoor.core.quarantine.evidence import Case, Evidence
from halldoor.core.quarantine.homes import choose_homes
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.quarantine import Audience, Message, Quarantine
from halldoor.core.quarantine.record import EvidenceRecord, from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord

SETTINGS = QuarantineSettings()
CALLER = "c"
BAD = "bad"
POPULAR = "popular"
WORK_S = 0.075
"""Time for which a request runs before it is answered, or ends its target, in seconds."""
AWAY_S = (1.5, 3.0)
"""Shortest and longest time until a target that ended is back under a new name, in seconds."""
CONTACT_S = 3.0
"""Time in which all entries must know that a third target ended, in seconds."""
WATCH_S = (0.05, 1.2)
"""Shortest and longest time until an entry hears of a change in the store, in seconds."""
STORE_S = 0.02
"""Time of a call to the store, in seconds."""
ATTEMPTS = 2
"""Targets that one request may be sent to."""
ADDRESS = Address("127.0.0.1", 1)


class Fleet(NamedTuple):
    """Sizes of a fleet, and what callers ask of it.

    Attributes
    ----------
    bad_per_s, popular_per_s : float
        Requests a second of the one that ends its targets, and of a sound one.
    ends_per_s : float
        Targets a second that end for reasons of their own while they run the sound one.
    rack_s : float
        When `rack` requests, all different, lose their targets at once.
    """

    entries: int = 10
    halls: int = 6
    targets: int = 40
    bad_per_s: float = 8.0
    popular_per_s: float = 0.0
    ends_per_s: float = 0.0
    rack: int = 0
    rack_s: float = 3.0


class Trouble(NamedTuple):
    """What goes wrong on a run.

    Attributes
    ----------
    loss : float
        Part of the messages that are lost.
    cut_s, away_s : tuple of float
        Between which times halls hear nothing of each other, and the store is away.
    restart_s : float
        When all entries start again and know nothing but what the store holds.
    """

    loss: float = 0.0
    delay_s: float = 0.013
    cut_s: tuple[float, float] = (99.0, 99.0)
    away_s: tuple[float, float] = (99.0, 99.0)
    restart_s: float = 99.0


class Run:
    """One run.

    Attributes
    ----------
    sent, ended : list of float
        When the bad request was sent to a target, and when targets ended under it.
    served, refused, lost : int
        What became of the sound request.
    messages, store_calls : int
        What it took.
    """

    def __init__(self, fleet: Fleet, trouble: Trouble, *, seed: int) -> None:
        self.fleet, self.trouble = fleet, trouble
        self.random = Random(seed)
        self.members = [
            MemberRecord(f"e{i}", ADDRESS, f"hall{i % fleet.halls}", "r", ADDRESS)
            for i in range(fleet.entries)
        ]
        self.sent: list[float] = []
        self.ended: list[float] = []
        self.served = self.refused = self.lost = 0
        self.messages = self.store_calls = 0
        self._targets = {f"t{i}" for i in range(fleet.targets)}
        self._running: dict[str, list[Callable[[float], None]]] = {}
        self._names = itertools.count(fleet.targets)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._way: CountingWay

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Do something at a time; the action gets that time first."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def play(self, way: CountingWay, *, until_s: float = 12.0) -> Run:
        """Play callers until a time."""
        self._way = way
        way.start(self)
        fleet = self.fleet
        for per_s, action in (
            (fleet.bad_per_s, partial(self._ask, BAD)),
            (fleet.popular_per_s, partial(self._ask, POPULAR)),
            (fleet.ends_per_s, self._end_one),
        ):
            self._repeat(0.0, per_s, action)
        self.at(self.trouble.restart_s, way.restart)
        for i in range(fleet.rack):
            entry = self.random.randrange(fleet.entries)
            self.at(fleet.rack_s, self._lose, entry, f"d{i}", f"t{i % fleet.targets}")
        while self._events and self._events[0][0] < until_s:
            when, _, action, args = heapq.heappop(self._events)
            action(when, *args)
        return self

    def _repeat(self, now: float, per_s: float, action: Callable[[float], None]) -> None:
        """Do something at random times."""
        if per_s:
            self.at(now + self.random.expovariate(per_s), self._do, per_s, action)

    def _do(self, now: float, per_s: float, action: Callable[[float], None]) -> None:
        """Do it once, and again later."""
        action(now)
        self._repeat(now, per_s, action)

    # Callers and targets

    def _ask(self, digest: str, now: float) -> None:
        """Ask any entry for a request."""
        self._send(now, self.random.randrange(self.fleet.entries), digest, ATTEMPTS)

    def _send(self, now: float, entry: int, digest: str, attempts: int) -> None:
        """Send a request to a target, unless the entry knows better."""
        if self._way.is_blocked(now, entry, digest):
            self.refused += digest == POPULAR
            return
        if not self._targets:
            self.lost += digest == POPULAR
            return
        target = self.random.choice(sorted(self._targets))
        if digest == BAD:
            self.sent.append(now)
        lose = partial(self._lose, entry=entry, digest=digest, target=target, attempts=attempts)
        self._running.setdefault(target, []).append(lose)
        self.at(now + WORK_S, self._finish, entry, digest, target, lose)

    def _finish(
        self, now: float, entry: int, digest: str, target: str, lose: Callable[[float], None]
    ) -> None:
        """End the run of a request, or its target with it."""
        if lose not in self._running.get(target, ()):
            return
        if digest == BAD:
            self.ended.append(now)
            self._end(now, target)
            return
        self._running[target].remove(lose)
        self.served += 1
        self._way.note_answer(now, entry, digest)

    def _end(self, now: float, target: str) -> None:
        """End a target with all that it runs."""
        self._targets.discard(target)
        for lose in self._running.pop(target, []):
            lose(now)
        self.at(now + self.random.uniform(*AWAY_S), self._start)

    def _start(self, now: float) -> None:
        """Start a target under a new name."""
        self._targets.add(f"t{next(self._names)}")

    def _end_one(self, now: float) -> None:
        """End a target that runs the sound request, if any does."""
        running = sorted(t for t, runs in self._running.items() if runs)
        if running:
            self._end(now, self.random.choice(running))

    def _lose(self, now: float, entry: int, digest: str, target: str, attempts: int = 1) -> None:
        """Let an entry see that a target ended under a request; it may try another."""
        self._way.note_end(now, entry, digest, target)
        if attempts > 1:
            self._send(now, entry, digest, attempts - 1)
        else:
            self.lost += digest == POPULAR

    # Between entries, and the store

    def tell(self, now: float, source: int, to: int, action: Callable[..., None], *a: Any) -> None:
        """Carry a message from one entry to another; it may be lost."""
        self.messages += 1
        trouble = self.trouble
        is_far = self.members[source].hall != self.members[to].hall
        is_cut = is_far and trouble.cut_s[0] <= now < trouble.cut_s[1]
        if not is_cut and self.random.random() >= trouble.loss:
            self.at(now + self.random.uniform(0.0, 2 * trouble.delay_s), action, to, *a)

    def is_store_away(self, now: float) -> bool:
        """Tell whether the store is away at a time."""
        return self.trouble.away_s[0] <= now < self.trouble.away_s[1]

    # What came of it

    def count_late(self) -> int:
        """Count sendings by entries in touch later than `CONTACT_S` after the third end."""
        if len(self.ended) < 3:
            return 0
        since = self.ended[2] + CONTACT_S
        trouble = self.trouble
        return sum(
            when > since
            and not trouble.restart_s <= when < trouble.restart_s + CONTACT_S
            and not trouble.away_s[0] <= when < trouble.away_s[1] + CONTACT_S
            for when in self.sent
        )


class CountingWay(ABC):
    """A way to know the sum of the ends."""

    run: Run

    def start(self, run: Run) -> None:
        """Begin a run."""
        self.run = run

    def restart(self, now: float) -> None:
        """Start every entry again."""
        self.start(self.run)

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Let an entry have an answer."""
        return

    @abstractmethod
    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Let an entry see an end."""

    @abstractmethod
    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Tell whether an entry does not send a request."""


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
        self.cases: list[dict[str, Case]] = [{} for _ in range(run.fleet.entries)]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Count it."""
        self.cases[entry].setdefault(digest, Case(digest)).add_end(target, CALLER, now)

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Clear the request of the ends before."""
        case = self.cases[entry].get(digest)
        if case is not None:
            case.clear_before(now)

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
        case = self.cases[entry].setdefault(evidence.digest, Case(evidence.digest))
        case.merge(evidence, now)


class StoreSum(OwnSum):
    """Each end is added to a record in the store, which all entries watch."""

    def start(self, run: Run) -> None:
        """Begin with an empty store."""
        super().start(run)
        self.records: dict[str, Case] = {}

    def restart(self, now: float) -> None:
        """Start every entry again; the store holds on."""
        records = self.records
        self.start(self.run)
        self.records = records
        for digest, case in records.items():
            for cases in self.cases:
                cases[digest] = Case(digest)
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
        record = self.records.setdefault(digest, Case(digest))
        if record.add_end(target, CALLER, now):
            evidence = record.build_evidence(now)
            for other in range(self.run.fleet.entries):
                heard_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
                self.run.at(heard_at, self._hear, other, evidence)

    def _hear(self, now: float, entry: int, evidence: Evidence) -> None:
        """Merge the record."""
        self.cases[entry].setdefault(evidence.digest, Case(evidence.digest)).merge(evidence, now)


class Homes(CountingWay):
    """The product's way without the store: a few count for all, and tell all."""

    def start(self, run: Run) -> None:
        """Begin with nothing known."""
        super().start(run)
        self._by_name = {m.name: i for i, m in enumerate(run.members)}
        self._homes: dict[tuple[str, str], list[str]] = {}
        self._parts = [
            Quarantine(m.name, SETTINGS, partial(self._find_homes, m.hall)) for m in run.members
        ]

    def _find_homes(self, hall: str, digest: str) -> list[str]:
        """Find who counts for a request, as the product does."""
        if (hall, digest) not in self._homes:
            self._homes[hall, digest] = choose_homes(digest, hall, self.run.members)
        return self._homes[hall, digest]

    def note_end(self, now: float, entry: int, digest: str, target: str) -> None:
        """Let the entry's part see it."""
        self._parts[entry].note_end(Identity(digest, CALLER), target, now)
        self._poll(now, entry, self._parts[entry])

    def note_answer(self, now: float, entry: int, digest: str) -> None:
        """Let the entry's part see it."""
        self._parts[entry].note_answer(digest, now)
        self._poll(now, entry, self._parts[entry])

    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Ask the entry's part."""
        return self._parts[entry].find_block(Identity(digest, CALLER), now) is not None

    def _poll(self, now: float, entry: int, part: Quarantine) -> None:
        """Send and record what is due, and come back when more is."""
        if part is not self._parts[entry]:
            return  # It started again meanwhile.
        for message in part.take_messages(now):
            is_for_all = isinstance(message.to, Audience)
            for other in self._list_recipients(entry, message):
                self.run.tell(now, entry, other, self._hear, message.evidence, is_for_all)
        while (evidence := part.take_record_due(now)) is not None:
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
        self._parts[entry].take(evidence, now, is_for_all=is_for_all)
        self._poll(now, entry, self._parts[entry])

    def _record(self, now: float, part: Quarantine, evidence: Evidence) -> None:
        """Keep nothing."""
        part.note_recorded(evidence)


class HomesAndRecord(Homes):
    """The product's way: what those who count know is recorded in the store, too."""

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
        part.note_recorded(evidence)
        record = to_record(evidence, round(now * 1000))
        self._records[evidence.digest] = record
        for entry in range(self.run.fleet.entries):
            heard_at = now + STORE_S + self.run.random.uniform(*WATCH_S)
            self.run.at(heard_at, self._watch, entry, record)

    def _watch(self, now: float, entry: int, record: EvidenceRecord) -> None:
        """Let the entry's part take a record."""
        self._parts[entry].take_record(from_record(record, round(now * 1000)), now)
        self._poll(now, entry, self._parts[entry])
