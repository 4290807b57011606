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

from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord

BAD = "bad"
POPULAR = "popular"
WORK_S = 0.075
"""Time for which a request runs before it is answered, or ends its target, in seconds."""
AWAY_S = (1.5, 3.0)
"""Shortest and longest time until a target that ended is back under a new name, in seconds."""
CONTACT_S = 3.0
"""Time in which all entries must know that a third target ended, in seconds."""
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
        """Check whether the store is away at a time."""
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
        """Check whether an entry does not send a request."""
