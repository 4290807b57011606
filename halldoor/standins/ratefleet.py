"""Simulation of strategies that divide a target's request rate among entries.

In virtual time, for tests and measurements: requests arrive at random entries, each entry has its
own view of the registered entries, and messages are lost or cut.  The product's own share is one of
the strategies.
"""

from __future__ import annotations

import heapq
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from halldoor.core.placement import rank
from halldoor.core.settings import Address
from halldoor.core.targets.budget import RateShare
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.notice import choose_receivers

TARGET = "t1"
LAPSE_S = 3.0
"""Time until the record of an entry that is cut off from the store expires, in seconds."""
DELAY_S = 0.01
"""Mean delay of a message, in seconds."""


HALLS = 6
"""Number of halls over which the entries are spread."""


def list_receivers(names: Sequence[str]) -> list[list[int]]:
    """Return, for each entry, the entries that it sends notices to."""
    members = [
        MemberRecord(name, Address("127.0.0.1", 1), f"h{i % HALLS}", "r", Address(name, 1))
        for i, name in enumerate(names)
    ]
    return [[names.index(m.name) for m in choose_receivers(members, own)] for own in members]


class Bound(NamedTuple):
    """Limit on the requests that all entries together send to the target.

    Attributes
    ----------
    limit_per_s : float
        Request rate that is divided among the entries.
    window_s : float
        Length of the sliding window in which requests are counted, in seconds.
    allowed : float
        Largest number of requests in any such window.
    share_s : float
        Length of the window in which entries count their shares, in seconds.
    """

    limit_per_s: float
    window_s: float
    allowed: float
    share_s: float

    @property
    def share(self) -> int:
        """Requests that all entries together may send in one window of ``share_s``."""
        return max(1, int(self.limit_per_s * self.share_s))


class Faults(NamedTuple):
    """Faults of the store connection, the messages and the entries in a run.

    Attributes
    ----------
    cut_share : float
        Share of the entries that are cut off from the store between `cut_from_s` and `cut_to_s`.
    is_isolated : bool
        These entries can't reach other entries either.
    loss : float
        Share of the messages between entries that are lost.
    restart_s : float
        Time at which all entries restart and lose their counts, in seconds.
    """

    cut_share: float = 0.0
    is_isolated: bool = False
    cut_from_s: float = 3.0
    cut_to_s: float = 12.0
    loss: float = 0.0
    restart_s: float = 99.0


class Run:
    """One simulation run: requests for one target at all entries.

    Parameters
    ----------
    entries : int
        Number of entries in the fleet.
    asked_per_s : float
        Requests for the target a second, over all entries.
    seed : int
        Seed of all random draws.

    Attributes
    ----------
    asked, sent : list of tuple
        Time and entry of each request, and of those that were sent.
    """

    def __init__(
        self, entries: int, bound: Bound, faults: Faults, *, asked_per_s: float, seed: int
    ) -> None:
        self.names = [f"e{i}" for i in range(entries)]
        self.bound = bound
        self.faults = faults
        self.random = Random(seed)
        self.asked: list[tuple[float, int]] = []
        self.sent: list[tuple[float, int]] = []
        self.messages = 0
        self._asked_per_s = asked_per_s
        self._cut = set(self.random.sample(range(entries), round(faults.cut_share * entries)))
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()

    def schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at a time; the time is passed as its first argument."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def is_cut(self, entry: int, now: float) -> bool:
        """Check whether an entry is cut off from the store."""
        faults = self.faults
        return entry in self._cut and faults.cut_from_s <= now < faults.cut_to_s

    def list_registered(self, entry: int, now: float) -> list[str]:
        """Return the entries that are registered in one entry's view, itself included."""
        has_lapsed = now >= self.faults.cut_from_s + LAPSE_S and not self.is_cut(entry, now)
        return [
            name
            for i, name in enumerate(self.names)
            if i == entry or not (has_lapsed and self.is_cut(i, now))
        ]

    def send(self, now: float, source: int, to: int, action: Callable[..., None], *a: Any) -> None:
        """Send a message between two entries, unless it is lost or cut."""
        self.messages += 1
        is_cut = self.faults.is_isolated and (self.is_cut(source, now) or self.is_cut(to, now))
        if source != to and (is_cut or self.random.random() < self.faults.loss):
            return
        self.schedule(now + self.random.uniform(0.0, 2 * DELAY_S), action, to, *a)

    def play(self, strategy: RateStrategy, *, until_s: float = 15.0) -> Run:
        """Run the simulation with a strategy until a time; requests arrive at random."""
        strategy.start(self)
        self.schedule(self.faults.restart_s, strategy.restart)
        now = 0.0
        while now < until_s:
            now += self.random.expovariate(self._asked_per_s)
            self.schedule(
                now, self._receive_request, strategy, self.random.randrange(len(self.names))
            )
        while self._events and self._events[0][0] < until_s:
            when, _, action, args = heapq.heappop(self._events)
            action(when, *args)
        return self

    def _receive_request(self, now: float, strategy: RateStrategy, entry: int) -> None:
        """Count one request at an entry, and whether the strategy sends it."""
        self.asked.append((now, entry))
        if strategy.admit(now, entry):
            self.sent.append((now, entry))

    def find_worst_window(self) -> int:
        """Return the largest number of requests sent in any window."""
        worst = first = 0
        for last, (when, _) in enumerate(self.sent):
            while self.sent[first][0] <= when - self.bound.window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def compute_used_share(self, *, is_cut: bool) -> float:
        """Return the share of their fair rate that the entries of one side used during the cut.

        The fair rate is in proportion to the number of entries, and at most their demand.
        """
        faults = self.faults
        span_s = faults.cut_to_s - faults.cut_from_s
        entries = len(self._cut) if is_cut else len(self.names) - len(self._cut)
        wanted = [e for at, e in self.asked if faults.cut_from_s <= at < faults.cut_to_s]
        sent = [e for at, e in self.sent if faults.cut_from_s <= at < faults.cut_to_s]
        count = sum((e in self._cut) == is_cut for e in wanted)
        fair = min(count, self.bound.limit_per_s * span_s * entries / len(self.names))
        return sum((e in self._cut) == is_cut for e in sent) / fair if fair else 1.0


class RateStrategy(ABC):
    """A strategy that divides a target's rate among the entries."""

    run: Run

    def start(self, run: Run) -> None:
        """Initialize the strategy's state for a run."""
        self.run = run
        self.restart(0.0)

    @abstractmethod
    def restart(self, now: float) -> None:
        """Reset the state of all entries."""

    @abstractmethod
    def admit(self, now: float, entry: int) -> bool:
        """Return whether an entry sends a request to the target."""


class RankedShares(RateStrategy):
    """Each entry has a whole number of requests, by its rank among the registered entries.

    Entries with the same view of the registered entries compute the same ranks.
    """

    def restart(self, now: float) -> None:
        """Reset the counts of sent requests."""
        window_s = self.run.bound.share_s
        self._shares = [RateShare(window_s=window_s, began_at=now) for _ in self.run.names]
        self._orders: dict[tuple[str, ...], list[str]] = {}

    def admit(self, now: float, entry: int) -> bool:
        """Reserve a request in the entry's own share."""
        members = tuple(self.list_sharers(now, entry))
        if members not in self._orders:
            self._orders[members] = rank(TARGET, members)
        return self._shares[entry].reserve_request(
            TARGET,
            now,
            limit=self.run.bound.share,
            entries=len(members),
            rank=self._orders[members].index(self.run.names[entry]),
        )

    def list_sharers(self, now: float, entry: int) -> list[str]:
        """Return the names of the entries among which the rate is divided."""
        return self.run.list_registered(entry, now)


class SteadyRankedShares(RankedShares):
    """Ranked shares that still count entries whose record expired.

    Such an entry may only be cut off from the store, and still send requests.
    """

    def list_sharers(self, now: float, entry: int) -> list[str]:
        """Return the names of the entries among which the rate is divided."""
        return self.run.names


class EqualBuckets(RateStrategy):
    """Each entry has a token bucket with an equal share of the rate and a burst of one."""

    def restart(self, now: float) -> None:
        """Reset each bucket to a random fraction of a token, so that not all fill at once."""
        self._levels = [(self.run.random.random(), now) for _ in self.run.names]

    def admit(self, now: float, entry: int) -> bool:
        """Spend a token if the bucket has one."""
        level, at = self._levels[entry]
        rate_per_s = self.run.bound.limit_per_s / len(self.run.list_registered(entry, now))
        level = min(1.0, level + rate_per_s * (now - at))
        is_admitted = level >= 1.0
        self._levels[entry] = (level - is_admitted, now)
        return is_admitted


class HomeGrants(RateStrategy):
    """One entry, the target's home, grants single requests that are valid for one second."""

    LIFETIME_S = 1.0
    REQUEST_INTERVAL_S = 0.2

    def restart(self, now: float) -> None:
        """Reset all grants; those granted before are unknown."""
        self._granted = [RateShare(window_s=self.run.bound.share_s) for _ in self.run.names]
        self._tokens: list[list[float]] = [[] for _ in self.run.names]
        self._requested_at = [-1.0] * len(self.run.names)

    def admit(self, now: float, entry: int) -> bool:
        """Spend a grant, or request one from the home."""
        self._tokens[entry] = [until for until in self._tokens[entry] if until > now]
        if self._tokens[entry]:
            self._tokens[entry].pop(0)
            return True
        if now - self._requested_at[entry] >= self.REQUEST_INTERVAL_S:
            self._requested_at[entry] = now
            home = rank(TARGET, self.run.list_registered(entry, now))[0]
            self.run.send(now, entry, self.run.names.index(home), self._grant, entry)
        return False

    def _grant(self, now: float, home: int, entry: int) -> None:
        """Grant a request if the rate allows one more."""
        limit = self.run.bound.share
        if self._granted[home].reserve_request(TARGET, now, limit=limit, entries=1, rank=0):
            self.run.send(now, home, entry, self._receive)

    def _receive(self, now: float, entry: int) -> None:
        """Store a grant with its expiry."""
        self._tokens[entry].append(now + self.LIFETIME_S)
