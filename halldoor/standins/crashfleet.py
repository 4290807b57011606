"""Simulation of a fleet of entries whose targets crash while running a request.

Compares strategies for counting these crashes over all entries, in virtual time, for tests and
measurements.  Requests arrive at random, targets crash and restart, messages are delayed, lost or
cut between halls, and the store may be down.  The product's quarantine is one of the strategies.
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

CRASHING_REQUEST = "bad"
"""Digest of the request that crashes its targets."""
HARMLESS_REQUEST = "popular"
"""Digest of the harmless request."""
WORK_S = 0.075
"""Time for which a request runs before it is answered or crashes its target, in seconds."""
AWAY_S = (1.5, 3.0)
"""Shortest and longest time until a crashed target is replaced under a new name, in seconds."""
CONTACT_S = 3.0
"""Time within which all entries must know of the third crash, in seconds."""
ATTEMPTS = 2
"""Most targets that one request is sent to."""
ADDRESS = Address("127.0.0.1", 1)


class Fleet(NamedTuple):
    """Sizes of a fleet, and the rates of its requests and crashes.

    Attributes
    ----------
    bad_per_s, popular_per_s : float
        Arrivals a second of the request that crashes its targets, and of a harmless one.
    ends_per_s : float
        Crashes a second of targets that run the harmless request but crash for other reasons.
    rack_s : float
        Time at which `rack` different requests lose their targets at once, in seconds.
    """

    entries: int = 10
    halls: int = 6
    targets: int = 40
    bad_per_s: float = 8.0
    popular_per_s: float = 0.0
    ends_per_s: float = 0.0
    rack: int = 0
    rack_s: float = 3.0


class Faults(NamedTuple):
    """Faults of the messages, the store and the entries in a run.

    Attributes
    ----------
    loss : float
        Share of the messages that are lost.
    cut_s, away_s : tuple of float
        Start and end of the time in which messages between halls are lost, and of the store's
        outage, in seconds.
    restart_s : float
        Time at which all entries restart with nothing but the store's content, in seconds.
    """

    loss: float = 0.0
    delay_s: float = 0.013
    cut_s: tuple[float, float] = (99.0, 99.0)
    away_s: tuple[float, float] = (99.0, 99.0)
    restart_s: float = 99.0


class Run:
    """One simulation run of a counting strategy.

    Attributes
    ----------
    sent, ended : list of float
        Times at which the crashing request was sent to a target, and at which it crashed one.
    served, refused, lost : int
        Number of harmless requests that were answered, refused by an entry, and failed.
    messages, store_calls : int
        Number of messages between entries and of calls to the store.
    """

    def __init__(self, fleet: Fleet, faults: Faults, *, seed: int) -> None:
        self.fleet, self.faults = fleet, faults
        self.random = Random(seed)
        self.members = [
            MemberRecord(f"e{i}", ADDRESS, f"hall{i % fleet.halls}", "r", ADDRESS)
            for i in range(fleet.entries)
        ]
        self.sent: list[float] = []
        self.crash_times: list[float] = []
        self.served = self.refused = self.lost = 0
        self.messages = self.store_calls = 0
        self._targets = {f"t{i}" for i in range(fleet.targets)}
        self._running: dict[str, list[Callable[[float], None]]] = {}
        self._names = itertools.count(fleet.targets)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._strategy: CrashCounting

    def schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at a time; the time is passed as its first argument."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def play(self, strategy: CrashCounting, *, until_s: float = 12.0) -> Run:
        """Run the simulation with a strategy until a time in seconds."""
        self._strategy = strategy
        strategy.start(self)
        fleet = self.fleet
        for per_s, action in (
            (fleet.bad_per_s, partial(self._receive_request, CRASHING_REQUEST)),
            (fleet.popular_per_s, partial(self._receive_request, HARMLESS_REQUEST)),
            (fleet.ends_per_s, self._crash_one),
        ):
            self._repeat(0.0, per_s, action)
        self.schedule(self.faults.restart_s, strategy.restart)
        for i in range(fleet.rack):
            entry = self.random.randrange(fleet.entries)
            self.schedule(fleet.rack_s, self._fail_attempt, entry, f"d{i}", f"t{i % fleet.targets}")
        while self._events and self._events[0][0] < until_s:
            when, _, action, args = heapq.heappop(self._events)
            action(when, *args)
        return self

    def _repeat(self, now: float, per_s: float, action: Callable[[float], None]) -> None:
        """Schedule an action at random times with a mean rate a second; 0 means never."""
        if per_s:
            self.schedule(now + self.random.expovariate(per_s), self._run_and_repeat, per_s, action)

    def _run_and_repeat(self, now: float, per_s: float, action: Callable[[float], None]) -> None:
        """Run an action, and schedule its next run."""
        action(now)
        self._repeat(now, per_s, action)

    def _receive_request(self, digest: str, now: float) -> None:
        """Send a request to a randomly chosen entry."""
        self._send(now, self.random.randrange(self.fleet.entries), digest, ATTEMPTS)

    def _send(self, now: float, entry: int, digest: str, attempts: int) -> None:
        """Send a request to a random target, unless the entry blocks it or no target runs."""
        if self._strategy.is_blocked(now, entry, digest):
            self.refused += digest == HARMLESS_REQUEST
            return
        if not self._targets:
            self.lost += digest == HARMLESS_REQUEST
            return
        target = self.random.choice(sorted(self._targets))
        if digest == CRASHING_REQUEST:
            self.sent.append(now)
        fail = partial(
            self._fail_attempt, entry=entry, digest=digest, target=target, attempts=attempts
        )
        self._running.setdefault(target, []).append(fail)
        self.schedule(now + WORK_S, self._finish, entry, digest, target, fail)

    def _finish(
        self, now: float, entry: int, digest: str, target: str, fail: Callable[[float], None]
    ) -> None:
        """Finish a request, or crash its target if it is the crashing one."""
        if fail not in self._running.get(target, ()):
            return
        if digest == CRASHING_REQUEST:
            self.crash_times.append(now)
            self._crash(now, target)
            return
        self._running[target].remove(fail)
        self.served += 1
        self._strategy.record_answer(now, entry, digest)

    def _crash(self, now: float, target: str) -> None:
        """Crash a target: all its requests fail, and a replacement is scheduled."""
        self._targets.discard(target)
        for fail in self._running.pop(target, []):
            fail(now)
        self.schedule(now + self.random.uniform(*AWAY_S), self._start_target)

    def _start_target(self, now: float) -> None:
        """Start a target under a new name."""
        self._targets.add(f"t{next(self._names)}")

    def _crash_one(self, now: float) -> None:
        """Crash a random target among those that run a request, if there is one."""
        running = sorted(t for t, runs in self._running.items() if runs)
        if running:
            self._crash(now, self.random.choice(running))

    def _fail_attempt(
        self, now: float, entry: int, digest: str, target: str, attempts: int = 1
    ) -> None:
        """Record at an entry that a request crashed its target; retry if attempts are left."""
        self._strategy.record_crash(now, entry, digest, target)
        if attempts > 1:
            self._send(now, entry, digest, attempts - 1)
        else:
            self.lost += digest == HARMLESS_REQUEST

    def send(self, now: float, source: int, to: int, action: Callable[..., None], *a: Any) -> None:
        """Send a message from one entry to another, unless it is lost or cut."""
        self.messages += 1
        faults = self.faults
        is_far = self.members[source].hall != self.members[to].hall
        is_cut = is_far and faults.cut_s[0] <= now < faults.cut_s[1]
        if not is_cut and self.random.random() >= faults.loss:
            self.schedule(now + self.random.uniform(0.0, 2 * faults.delay_s), action, to, *a)

    def is_store_down(self, now: float) -> bool:
        """Check whether the store is down at a time."""
        return self.faults.away_s[0] <= now < self.faults.away_s[1]

    def count_late_sends(self) -> int:
        """Count requests sent later than `CONTACT_S` after the third crash.

        Requests shortly after a restart or during a store outage are left out.
        """
        if len(self.crash_times) < 3:
            return 0
        since = self.crash_times[2] + CONTACT_S
        faults = self.faults
        return sum(
            when > since
            and not faults.restart_s <= when < faults.restart_s + CONTACT_S
            and not faults.away_s[0] <= when < faults.away_s[1] + CONTACT_S
            for when in self.sent
        )


class CrashCounting(ABC):
    """A strategy for counting a request's crashes over all entries."""

    run: Run

    def start(self, run: Run) -> None:
        """Initialize the strategy's state for a run."""
        self.run = run

    def restart(self, now: float) -> None:
        """Restart every entry, which loses its state."""
        self.start(self.run)

    def record_answer(self, now: float, entry: int, digest: str) -> None:
        """Record that an entry received an answer to a request; ignored by default."""
        return

    @abstractmethod
    def record_crash(self, now: float, entry: int, digest: str, target: str) -> None:
        """Record that an entry saw a target crash under a request."""

    @abstractmethod
    def is_blocked(self, now: float, entry: int, digest: str) -> bool:
        """Check whether an entry blocks a request instead of sending it."""
