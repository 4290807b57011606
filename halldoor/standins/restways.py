"""Ways to honour the rest that a target asks for, and to return after it, in virtual time.

A model for measurements, on the runs of `ratefleet`: for a while the target turns every request
away and asks each entry that sent it one for a rest.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare
from halldoor.standins.ratefleet import TARGET, RateWay, Run, list_receivers

ANSWER_S = 0.02
"""Time from a request to the answer that turns it away, in seconds."""
WORK_S = 0.15
"""Time from a request to a sound answer, in seconds."""
PERIOD_S = 0.25
"""Time between two messages of an entry, in seconds."""
SLOTS = 6
"""Requests that the target works on at a time."""
GRACE_S = 0.5
"""Time after an answer in which requests that were under way may still arrive, in seconds."""


class Need(NamedTuple):
    """When a target turns requests away, and whose.

    Attributes
    ----------
    from_s, to_s : float
        When it does so, in seconds of a run.
    rest_s : float
        The rest that it asks for, in seconds.
    only_first : bool
        It turns one entry away, and serves the others.
    """

    from_s: float = 3.0
    to_s: float = 9.0
    rest_s: float = 3.0
    only_first: bool = False


class OwnRests(RateWay):
    """An entry rests for as long as the target asked it to, and then sends as before."""

    SPREAD = 0.0
    """Part of the time that callers are told by which it differs, towards later."""

    def __init__(self, need: Need) -> None:
        self.need = need
        self.turned_away: list[tuple[float, int]] = []

    def restart(self, now: float) -> None:
        """Begin with nothing known."""
        self.until = [0.0] * len(self.run.names)

    def take(self, now: float, entry: int) -> bool:
        """Send the request unless the target wants none; its caller comes back when told to."""
        if self._try(now, entry):
            return True
        left_s = self.until[entry] - now
        if left_s > 0:
            told_s = left_s * (1.0 + self.run.random.uniform(0.0, self.SPREAD))
            self.run.at(now + told_s, self._come_back, entry)
        return False

    def _come_back(self, now: float, entry: int) -> None:
        """Ask once more; a caller that finds no room then goes elsewhere."""
        if self._try(now, entry):
            self.run.sent.append((now, entry))

    def _try(self, now: float, entry: int) -> bool:
        """Send a request unless the target wants none."""
        if now < self.until[entry] or not self.may_return(now, entry):
            return False
        self.count(now, entry)
        need = self.need
        if need.from_s <= now < need.to_s and (not need.only_first or entry == 0):
            self.turned_away.append((now, entry))
            self.run.at(now + ANSWER_S, self._read, entry)
        else:
            self.run.at(now + WORK_S, self.read_sound, entry)
        return True

    def _read(self, now: float, entry: int) -> None:
        """Read an answer that turns a request away."""
        self.until[entry] = max(self.until[entry], now + self.need.rest_s)
        self.notify(now, entry)

    def notify(self, now: float, entry: int) -> None:
        """Notify others: here nobody."""

    def read_sound(self, now: float, entry: int) -> None:
        """Read a sound answer."""

    def may_return(self, now: float, entry: int) -> bool:
        """Whether the way back allows a request."""
        return True

    def count(self, now: float, entry: int) -> None:
        """Count a request that is sent."""

    def find_most_in_rest(self) -> int:
        """Return the most requests of one entry within a rest that it was asked for."""
        worst = 0
        for at, entry in self.turned_away:
            begin, end = at + ANSWER_S + GRACE_S, at + ANSWER_S + self.need.rest_s
            worst = max(worst, sum(e == entry and begin < s < end for s, e in self.run.sent))
        return worst


class NotifiedRests(OwnRests):
    """Entries notify each other, and all rest."""

    def start(self, run: Run) -> None:
        """Begin a run."""
        super().start(run)
        self._receivers = list_receivers(run.names)

    def notify(self, now: float, entry: int) -> None:
        """Send a notice to those that this entry notifies."""
        self.run.at(now + self.run.random.uniform(0.0, PERIOD_S), self._send, entry)

    def _send(self, now: float, entry: int) -> None:
        """Send one message to each of them."""
        for to in self._receivers[entry]:
            self.run.send(now, entry, to, self._hear, self.until[entry])

    def _hear(self, now: float, entry: int, until: float) -> None:
        """Receive a notice."""
        self.until[entry] = max(self.until[entry], until)


class SpreadCallers(OwnRests):
    """Callers are told to come back at different times, none before the rest ends."""

    SPREAD = 0.5


class SingleTrials(SpreadCallers):
    """After a rest one request at a time, until one is answered soundly."""

    def restart(self, now: float) -> None:
        """Begin with nothing known."""
        super().restart(now)
        self._on_trial = [False] * len(self.run.names)
        self._in_flight: Counter[int] = Counter()

    def _read(self, now: float, entry: int) -> None:
        """Read an answer that turns a request away."""
        super()._read(now, entry)
        self._on_trial[entry] = True
        self._in_flight[entry] -= 1

    def read_sound(self, now: float, entry: int) -> None:
        """Read a sound answer."""
        self._on_trial[entry] = False
        self._in_flight[entry] -= 1

    def may_return(self, now: float, entry: int) -> bool:
        """Whether the way back allows a request."""
        return not (self._on_trial[entry] and self._in_flight[entry] > 0)

    def count(self, now: float, entry: int) -> None:
        """Count a request that is sent."""
        self._in_flight[entry] += 1

    def count_in_flight(self, entry: int) -> int:
        """Count an entry's requests that are not answered."""
        return self._in_flight[entry]


class SlowStart(SingleTrials):
    """After a rest one request at a time for a second, then two, then four."""

    DOUBLINGS = 3

    def may_return(self, now: float, entry: int) -> bool:
        """Whether the way back allows a request."""
        doublings = now - self.until[entry] if self.until[entry] else math.inf
        if doublings < self.DOUBLINGS and self.count_in_flight(entry) >= int(2**doublings):
            return False
        return super().may_return(now, entry)


class DoublingShares(SingleTrials):
    """The same, and for a time each entry has its share of a rate that doubles each second."""

    FROM_PER_S = float(SLOTS)
    DOUBLINGS = 3

    def restart(self, now: float) -> None:
        """Begin with nothing known."""
        super().restart(now)
        self._shares = [RateShare(window_s=1.0) for _ in self.run.names]
        order = rank(TARGET, self.run.names)
        self._ranks = [order.index(name) for name in self.run.names]

    def may_return(self, now: float, entry: int) -> bool:
        """Whether the way back allows a request."""
        doublings = now - self.until[entry] if self.until[entry] else math.inf
        if doublings < self.DOUBLINGS:
            limit = int(self.FROM_PER_S * 2**doublings)
            entries = len(self.run.names)
            share, place = self._shares[entry], self._ranks[entry]
            if not share.has_capacity(TARGET, now, limit=limit, entries=entries, rank=place):
                return False
        return super().may_return(now, entry)

    def count(self, now: float, entry: int) -> None:
        """Count a request that is sent."""
        super().count(now, entry)
        self._shares[entry].add(TARGET, now)
