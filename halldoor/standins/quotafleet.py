"""Simulation of strategies that enforce a team's quota over a fleet of entries.

In virtual time, for tests and measurements: requests arrive at random entries, and messages are
delayed, lost or cut.  The product's own gate and ledger are one of the strategies.
"""

from __future__ import annotations

import heapq
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from halldoor.core.teams.gate import EntryBucket, QuotaGate
from halldoor.core.teams.ledger import QuotaLedger
from halldoor.core.teams.quota import COLLECTORS, HANDOVER_PERIODS, Report, Shares, find_period
from halldoor.core.teams.team import TeamLimit

TEAM = "north"
QUIET_S = 2.0
"""Time before the first request, in which entries exchange reports, in seconds."""
WINDOW_S = 5.0
EXCESS, SLACK = 0.1, 20.0
"""The operators' bound: (rate x window + burst) x (1 + excess) + slack in any window."""
MESSAGE_BYTES = 60
"""Size of a message about one team, network headers included, in bytes."""


class Faults(NamedTuple):
    """Faults of the messages and the collectors in a run.

    Attributes
    ----------
    loss, doubling : float
        Shares of the messages that are lost, and that arrive twice.
    delay_s : float
        Mean delay of a message, in seconds.
    cut_entries, cut_collectors : int
        Number of entries and of collectors, counted from the first, that exchange no messages
        with the others between `cut_from_s` and `cut_to_s`.  They still reach each other.
    restart_s : float
        Time at which the first collector, or the team's home entry, restarts with no state, in
        seconds.
    restart_all_s : tuple of float
        Times at which all entries and collectors restart with no state, in seconds.
    """

    loss: float = 0.0
    doubling: float = 0.0
    delay_s: float = 0.007
    cut_entries: int = 0
    cut_collectors: int = 0
    cut_from_s: float = 4.0
    cut_to_s: float = 9.0
    restart_s: float = 99.0
    restart_all_s: tuple[float, ...] = ()


class Run:
    """One simulation run: requests at the entries, and those that a strategy admits.

    Parameters
    ----------
    entries : int
        Number of entries in the fleet.
    limit : TeamLimit
        The team's quota.
    seed : int
        Seed of all random draws.

    Attributes
    ----------
    asked, admitted : list of float
        Arrival times of all requests, and of those that were admitted, in seconds.
    messages : int
        Number of messages that were sent.
    """

    def __init__(self, entries: int, limit: TeamLimit, faults: Faults, *, seed: int) -> None:
        self.entries = entries
        self.limit = limit
        self.random = Random(seed)
        self.asked: list[float] = []
        self.admitted: list[float] = []
        self.messages = 0
        self._faults = faults
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()

    def schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at a time; the time is passed as its first argument."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def send(
        self, now: float, entry: int, action: Callable[..., None], *args: Any, collector: int = -1
    ) -> None:
        """Send a message between an entry and a collector; it may be lost, delayed or duplicated.

        Parameters
        ----------
        collector : int, optional
            Rank of the collector; -1 for any entry that is not cut off.
        """
        faults = self._faults
        self.messages += 1
        is_other_side = entry < faults.cut_entries
        is_other_side ^= 0 <= collector < faults.cut_collectors
        is_cut = is_other_side and faults.cut_from_s <= now < faults.cut_to_s
        if is_cut or self.random.random() < faults.loss:
            return
        for _ in range(2 if self.random.random() < faults.doubling else 1):
            self.schedule(now + self.random.uniform(0.0, 2 * faults.delay_s), action, entry, *args)

    def play(
        self,
        strategy: QuotaStrategy,
        rate_at: Callable[[float], float],
        *,
        until_s: float = 14.0,
        weights: Sequence[float] | None = None,
    ) -> Run:
        """Run the simulation with a strategy until a time.

        ``rate_at`` returns the team's request rate a second at a time, and ``weights`` are the
        relative shares of the requests that arrive at each entry.
        """
        strategy.start(self)
        self.schedule(self._faults.restart_s, strategy.restart)
        for when in self._faults.restart_all_s:
            self.schedule(when, strategy.restart_all)
        now = QUIET_S
        all_entries = range(self.entries)
        while now < until_s:
            now += self.random.expovariate(rate_at(now))
            self.schedule(
                now, self._receive_request, strategy, self.random.choices(all_entries, weights)[0]
            )
        while self._events and self._events[0][0] < until_s:
            when, _, action, args = heapq.heappop(self._events)
            action(when, *args)
        return self

    def _receive_request(self, now: float, strategy: QuotaStrategy, entry: int) -> None:
        """Count one request at an entry, and whether the strategy admits it."""
        self.asked.append(now)
        if strategy.admit(now, entry):
            self.admitted.append(now)

    def find_worst_window(self) -> int:
        """Return the largest number of requests admitted in any window of `WINDOW_S`."""
        worst = first = 0
        for last, when in enumerate(self.admitted):
            while self.admitted[first] <= when - WINDOW_S:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    @property
    def bound(self) -> float:
        """Largest number of requests that may be admitted in any window."""
        limit = self.limit
        return (limit.rate_per_s * WINDOW_S + limit.burst) * (1 + EXCESS) + SLACK

    def count_allowed(self) -> int:
        """Count the requests that one token bucket for the whole fleet would admit."""
        level, at, allowed = self.limit.burst, 0.0, 0
        for when in self.asked:
            level = min(self.limit.burst, level + (when - at) * self.limit.rate_per_s)
            at = when
            if level >= 1.0:
                level -= 1.0
                allowed += 1
        return allowed


class QuotaStrategy(ABC):
    """A strategy that enforces a team's quota over all entries."""

    run: Run

    def start(self, run: Run) -> None:
        """Initialize the strategy's state for a run."""
        self.run = run

    def restart(self, now: float) -> None:
        """Restart the first collector or the home entry, if there is one, with no state."""
        return

    def restart_all(self, now: float) -> None:
        """Restart all entries and collectors with no state, unless the strategy has none."""
        self.restart(now)

    @abstractmethod
    def admit(self, now: float, entry: int) -> bool:
        """Return whether an entry admits a request."""


class EqualShares(QuotaStrategy):
    """Each entry has an equal share of the quota, with a burst of at least one; no messages."""

    def start(self, run: Run) -> None:
        """Create a token bucket for each entry."""
        super().start(run)
        self._buckets = [EntryBucket(0.0) for _ in range(run.entries)]
        limit, n = run.limit, run.entries
        self._share = TeamLimit(limit.rate_per_s / n, max(1.0, limit.burst / n))

    def admit(self, now: float, entry: int) -> bool:
        """Admit a request if the bucket of the entry's equal share has a token."""
        return self._buckets[entry].take_token(self._share, now) <= 0.0


class DemandShares(QuotaStrategy):
    """Entries report their demand to each other; each has a share in proportion to its demand.

    A tenth of the quota is divided evenly, so that an entry has some of it at its first request.
    """

    EVEN_SHARE = 0.1

    def start(self, run: Run) -> None:
        """Schedule each entry's first report."""
        super().start(run)
        self._buckets = [EntryBucket(0.0) for _ in range(run.entries)]
        self._demand = [0.0] * run.entries
        self._reported = [0.0] * run.entries
        for entry in range(run.entries):
            run.schedule(run.random.random() * find_period(run.entries), self._report_demand, entry)

    def _report_demand(self, now: float, entry: int) -> None:
        """Report an entry's demand to the others through one entry that forwards it."""
        self.run.send(now, entry, self._receive_demand, self._demand[entry])
        self._demand[entry] *= 0.5
        self.run.schedule(now + find_period(self.run.entries), self._report_demand, entry)

    def _receive_demand(self, now: float, entry: int, asked: float) -> None:
        """Record an entry's reported demand."""
        self._reported[entry] = asked

    def admit(self, now: float, entry: int) -> bool:
        """Admit a request if the bucket of the entry's share by demand has a token."""
        self._demand[entry] += 1.0
        even = self.EVEN_SHARE / self.run.entries
        share = even + (1 - self.EVEN_SHARE) * self._reported[entry] / max(1.0, sum(self._reported))
        limit = self.run.limit
        own = TeamLimit(limit.rate_per_s * share, max(1.0, limit.burst * share))
        return self._buckets[entry].take_token(own, now) <= 0.0


class HomeTokens(QuotaStrategy):
    """One entry, the team's home, grants tokens ahead of need that are valid for one second."""

    LIFETIME_S = 1.0

    def start(self, run: Run) -> None:
        """Start with a full bucket at the home and no tokens at the entries."""
        super().start(run)
        self._home = EntryBucket(0.0)
        self._tokens: list[list[float]] = [[] for _ in range(run.entries)]
        self._is_requesting = [False] * run.entries
        self._wanted_tokens = [0.0] * run.entries

    def restart(self, now: float) -> None:
        """Restart the home with an empty bucket, since the tokens it granted are unknown."""
        self._home = EntryBucket(now)
        while self._home.take_token(self.run.limit, now) <= 0.0:
            pass

    def admit(self, now: float, entry: int) -> bool:
        """Spend a token, and request more from the home if none is left."""
        tokens = [until for until in self._tokens[entry] if until > now]
        self._wanted_tokens[entry] += 1.0
        is_admitted = bool(tokens)
        if tokens:
            tokens.pop(0)
        self._tokens[entry] = tokens
        if len(tokens) < 1 and not self._is_requesting[entry]:
            self._is_requesting[entry] = True
            self.run.send(now, entry, self._grant, 1 + int(self._wanted_tokens[entry]))
            self.run.schedule(now + 0.3, self._allow_token_request, entry)
            self._wanted_tokens[entry] *= 0.5
        return is_admitted

    def _allow_token_request(self, now: float, entry: int) -> None:
        """Allow another request for tokens, since the last one may be lost."""
        self._is_requesting[entry] = False

    def _grant(self, now: float, entry: int, wanted: int) -> None:
        """Grant up to ``wanted`` tokens from the home's bucket."""
        granted = sum(self._home.take_token(self.run.limit, now) <= 0.0 for _ in range(wanted))
        self.run.send(now, entry, self._receive, granted)

    def _receive(self, now: float, entry: int, granted: int) -> None:
        """Store granted tokens with their expiry."""
        self._is_requesting[entry] = False
        self._tokens[entry] += [now + self.LIFETIME_S] * granted


class CollectorShares(QuotaStrategy):
    """The product's strategy: entries report counts to collectors, which answer with shares.

    As in the product there are several collectors.  A restart affects the first one; the answers
    of the others are used while it is silent.
    """

    def start(self, run: Run) -> None:
        """Create the gates and ledgers, and schedule each entry's first report."""
        super().start(run)
        self._lives = itertools.count(1)
        self.restart_all(0.0)
        for entry in range(run.entries):
            run.schedule(run.random.random() * find_period(run.entries), self._report, entry)

    def restart_all(self, now: float) -> None:
        """Restart all entries with new gates, and all collectors with empty ledgers."""
        entries = self.run.entries
        self._gates = [self._make_gate(f"e{i}", now) for i in range(entries)]
        self._first_answer_at = [now] * entries
        self._ledgers = [self._make_ledger(now) for _ in range(COLLECTORS)]

    def _make_gate(self, name: str, now: float) -> QuotaGate:
        """Create the gate of a newly started entry."""
        gate = QuotaGate(name, next(self._lives), self.run.random.random)
        gate.start(now)
        gate.set_limits({TEAM: self.run.limit})
        return gate

    def _make_ledger(self, now: float) -> QuotaLedger:
        """Create the ledger of a newly started collector."""
        ledger = QuotaLedger()
        ledger.set_limits({TEAM: self.run.limit}, now)
        return ledger

    def restart(self, now: float) -> None:
        """Restart the first collector with an empty ledger."""
        self._ledgers[0] = self._make_ledger(now)

    def admit(self, now: float, entry: int) -> bool:
        """Admit a request if the entry's quota gate does."""
        return self._gates[entry].admit(TEAM, now, entries=self.run.entries).is_admitted

    def _report(self, now: float, entry: int) -> None:
        """Close an entry's period, report it to all collectors, and schedule the next report."""
        report = self._gates[entry].close_period()
        for rank in range(COLLECTORS):
            self.run.send(now, entry, self._receive_report, rank, report, collector=rank)
        self.run.schedule(now + find_period(self.run.entries), self._report, entry)

    def _receive_report(self, now: float, entry: int, rank: int, report: Report) -> None:
        """Add a report to a collector's ledger, and answer it with shares."""
        entries, ledger = self.run.entries, self._ledgers[rank]
        ledger.add_report(report, now)
        period_s = find_period(entries)
        if ledger.is_newly_started(now, period_s=period_s):
            return
        shares = ledger.compute_shares(now, entries=entries, period_s=period_s)
        answer = Shares(report.periods[-1].number, shares)
        self.run.send(now, entry, self._receive_answer, rank, answer, collector=rank)

    def _receive_answer(self, now: float, entry: int, rank: int, shares: Shares) -> None:
        """Apply a collector's answer; a later collector's only while the first one is silent."""
        handover_s = HANDOVER_PERIODS * find_period(self.run.entries)
        if rank and now - self._first_answer_at[entry] <= handover_s:
            return
        if self._gates[entry].apply_answer(shares, now) and not rank:
            self._first_answer_at[entry] = now
