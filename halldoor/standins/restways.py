"""Strategies for honouring a target's back-off and for sending again after it.

For measurements in virtual time, on the runs of `ratefleet`: for a while the target refuses every
request and asks the entry that sent it for a back-off.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare
from halldoor.standins.ratefleet import TARGET, RateStrategy, Run, list_receivers

ANSWER_S = 0.02
"""Time from a request to its refusal, in seconds."""
WORK_S = 0.15
"""Time from a request to a successful answer, in seconds."""
PERIOD_S = 0.25
"""Time between two messages of an entry, in seconds."""
SLOTS = 6
"""Requests that the target runs at a time."""
GRACE_S = 0.5
"""Time after a refusal in which requests sent before it may still arrive, in seconds."""


class RefusalPhase(NamedTuple):
    """Time in which a target refuses requests, and the entries that it refuses.

    Attributes
    ----------
    from_s, to_s : float
        Start and end of the refusals, in seconds from the start of the run.
    rest_s : float
        Length of the back-off that it asks for, in seconds.
    only_first : bool
        It refuses the first entry only, and serves the others.
    """

    from_s: float = 3.0
    to_s: float = 9.0
    rest_s: float = 3.0
    only_first: bool = False


class LocalBackoff(RateStrategy):
    """Each entry backs off for the time it was asked to, and then sends as before."""

    SPREAD = 0.0
    """Largest share by which a caller's retry time is randomly extended."""

    def __init__(self, phase: RefusalPhase) -> None:
        self.phase = phase
        self.refusals: list[tuple[float, int]] = []

    def restart(self, now: float) -> None:
        """Reset the back-offs of all entries."""
        self.backoff_until = [0.0] * len(self.run.names)

    def admit(self, now: float, entry: int) -> bool:
        """Send a request, or give its caller a retry time if the entry backs off."""
        if self._try_send(now, entry):
            return True
        left_s = self.backoff_until[entry] - now
        if left_s > 0:
            retry_after_s = left_s * (1.0 + self.run.random.uniform(0.0, self.SPREAD))
            self.run.schedule(now + retry_after_s, self._retry, entry)
        return False

    def _retry(self, now: float, entry: int) -> None:
        """Retry a request once; if it is refused again, the caller gives up."""
        if self._try_send(now, entry):
            self.run.sent.append((now, entry))

    def _try_send(self, now: float, entry: int) -> bool:
        """Send a request unless the entry backs off; schedule its answer."""
        if now < self.backoff_until[entry] or not self.can_send(now, entry):
            return False
        self.record_sent(now, entry)
        phase = self.phase
        if phase.from_s <= now < phase.to_s and (not phase.only_first or entry == 0):
            self.refusals.append((now, entry))
            self.run.schedule(now + ANSWER_S, self._receive_refusal, entry)
        else:
            self.run.schedule(now + WORK_S, self.receive_success, entry)
        return True

    def _receive_refusal(self, now: float, entry: int) -> None:
        """Receive a refusal, and start or extend the entry's back-off."""
        self.backoff_until[entry] = max(self.backoff_until[entry], now + self.phase.rest_s)
        self.notify(now, entry)

    def notify(self, now: float, entry: int) -> None:
        """Notify other entries of the back-off; this strategy notifies none."""

    def receive_success(self, now: float, entry: int) -> None:
        """Receive a successful answer."""

    def can_send(self, now: float, entry: int) -> bool:
        """Check whether the strategy allows a request after the back-off."""
        return True

    def record_sent(self, now: float, entry: int) -> None:
        """Record a sent request."""

    def find_most_during_backoff(self) -> int:
        """Return the largest number of requests that one entry sent during one of its back-offs."""
        worst = 0
        for at, entry in self.refusals:
            begin, end = at + ANSWER_S + GRACE_S, at + ANSWER_S + self.phase.rest_s
            worst = max(worst, sum(e == entry and begin < s < end for s, e in self.run.sent))
        return worst


class NotifiedBackoff(LocalBackoff):
    """Entries notify each other of back-offs, and every notified entry backs off."""

    def start(self, run: Run) -> None:
        """Initialize the strategy's state, and choose the receivers of each entry."""
        super().start(run)
        self._receivers = list_receivers(run.names)

    def notify(self, now: float, entry: int) -> None:
        """Schedule a notice to the entry's receivers within a message period."""
        self.run.schedule(now + self.run.random.uniform(0.0, PERIOD_S), self._send_notices, entry)

    def _send_notices(self, now: float, entry: int) -> None:
        """Send the end of the back-off to each receiver."""
        for to in self._receivers[entry]:
            self.run.send(now, entry, to, self._receive_notice, self.backoff_until[entry])

    def _receive_notice(self, now: float, entry: int, until: float) -> None:
        """Receive a notice, and extend the entry's back-off."""
        self.backoff_until[entry] = max(self.backoff_until[entry], until)


class SpreadRetries(LocalBackoff):
    """Callers are given different retry times, none before the end of the back-off."""

    SPREAD = 0.5


class SingleTrials(SpreadRetries):
    """After a back-off each entry sends one request at a time until one succeeds."""

    def restart(self, now: float) -> None:
        """Reset the back-offs and trials of all entries."""
        super().restart(now)
        self._on_trial = [False] * len(self.run.names)
        self._in_flight: Counter[int] = Counter()

    def _receive_refusal(self, now: float, entry: int) -> None:
        """Start or extend the back-off, after which the entry sends one request at a time."""
        super()._receive_refusal(now, entry)
        self._on_trial[entry] = True
        self._in_flight[entry] -= 1

    def receive_success(self, now: float, entry: int) -> None:
        """Lift the limit of one request at a time after a successful answer."""
        self._on_trial[entry] = False
        self._in_flight[entry] -= 1

    def can_send(self, now: float, entry: int) -> bool:
        """Check that no trial is in flight; entries not on trial may always send."""
        return not (self._on_trial[entry] and self._in_flight[entry] > 0)

    def record_sent(self, now: float, entry: int) -> None:
        """Count the request as in flight."""
        self._in_flight[entry] += 1

    def count_in_flight(self, entry: int) -> int:
        """Return the number of an entry's unanswered requests."""
        return self._in_flight[entry]


class SlowStart(SingleTrials):
    """After a back-off an entry has one request in flight for a second, then two, then four."""

    DOUBLINGS = 3

    def can_send(self, now: float, entry: int) -> bool:
        """Check whether the strategy allows a request after the back-off."""
        doublings = now - self.backoff_until[entry] if self.backoff_until[entry] else math.inf
        if doublings < self.DOUBLINGS and self.count_in_flight(entry) >= int(2**doublings):
            return False
        return super().can_send(now, entry)


class DoublingShares(SingleTrials):
    """Single trials, and for `DOUBLINGS` seconds a share of a rate that doubles each second."""

    FROM_PER_S = float(SLOTS)
    DOUBLINGS = 3

    def restart(self, now: float) -> None:
        """Reset the back-offs of all entries."""
        super().restart(now)
        self._shares = [RateShare(window_s=1.0) for _ in self.run.names]
        order = rank(TARGET, self.run.names)
        self._ranks = [order.index(name) for name in self.run.names]

    def can_send(self, now: float, entry: int) -> bool:
        """Check whether the strategy allows a request after the back-off."""
        doublings = now - self.backoff_until[entry] if self.backoff_until[entry] else math.inf
        if doublings < self.DOUBLINGS:
            limit = int(self.FROM_PER_S * 2**doublings)
            entries = len(self.run.names)
            share, own_rank = self._shares[entry], self._ranks[entry]
            if not share.has_capacity(TARGET, now, limit=limit, entries=entries, rank=own_rank):
                return False
        return super().can_send(now, entry)

    def record_sent(self, now: float, entry: int) -> None:
        """Record a sent request."""
        super().record_sent(now, entry)
        self._shares[entry].add(TARGET, now)
