"""An entry's side of quotas: admit by the collector's shares, or by an equal part without them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from halldoor.core.teams.quota import (
    FRESH_PERIODS,
    PERIODS_SENT,
    RECOVERY_S,
    Period,
    Report,
    Shares,
    TeamCount,
    find_period,
)
from halldoor.core.teams.team import TeamLimit

TEAMS_REPORTED = 64
"""Teams in one period of a report; others wait for the next, so that a report fits a datagram."""
RETRY_LEAST_S = 0.25
"""Least time after which a refused caller may come back, in seconds: the level of its team's
bucket has changed then."""
RETRY_MOST_S = 5.0
"""Longest such time, in seconds: a team that stopped asking for too much is at its rate by then."""


class EntryBucket:
    """A token bucket of one entry, for what it may admit alone."""

    def __init__(self, now: float) -> None:
        self._spent = 0.0
        self._at = now

    def take(self, limit: TeamLimit, now: float) -> float:
        """Take one request; give the time in seconds until there is room, 0 where it was taken."""
        self._advance(limit, now)
        if self._spent + 1.0 <= limit.burst:
            self._spent += 1.0
            return 0.0
        return (self._spent + 1.0 - limit.burst) / max(limit.rate_per_s, 1e-3)

    def spend(self, limit: TeamLimit, now: float) -> None:
        """Count a request that others allowed: there is less room for the next, at least none."""
        self._advance(limit, now)
        self._spent = min(limit.burst, self._spent + 1.0)

    def _advance(self, limit: TeamLimit, now: float) -> None:
        """Let the bucket fill."""
        passed_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self._spent = max(0.0, self._spent - passed_s * limit.rate_per_s)

    def give_back(self) -> None:
        """Give one request back."""
        self._spent = max(0.0, self._spent - 1.0)


class Admission(NamedTuple):
    """Whether a team's request is admitted, and on what knowledge.

    Attributes
    ----------
    retry_after_s : float
        When a refused caller may find room, in seconds; 0 where it is admitted.
    part : float
        Part of the team's requests that is admitted now.
    age_s : float or None
        Age of the collector's answer, in seconds; None where the entry goes by its equal part.
    """

    retry_after_s: float
    part: float
    age_s: float | None

    @property
    def is_admitted(self) -> bool:
        """Check whether the request may go on."""
        return self.retry_after_s <= 0.0


class QuotaGate:
    """An entry's side: admit by the collector's shares, or by an equal part without them.

    Parameters
    ----------
    life : int
        Tells this start of the entry from others.
    draw : callable
        Draws a number from 0 to 1: which of a team's requests are its part.
    """

    def __init__(self, entry: str, life: int, draw: Callable[[], float]) -> None:
        self._entry = entry
        self._draw = draw
        self._life = life
        self._limits: Mapping[str, TeamLimit] = {}
        self._parts: dict[str, float] = {}
        self._answered_at: float | None = None
        self._number = 0
        self._counts: dict[str, list[int]] = {}
        self._periods: deque[Period] = deque(maxlen=PERIODS_SENT)
        self._alone: dict[str, EntryBucket] = {}
        self._whole: dict[str, EntryBucket] = {}

    def use(self, limits: Mapping[str, TeamLimit]) -> None:
        """Use other limits from now on."""
        self._limits = limits

    @property
    def has_limits(self) -> bool:
        """Check whether any team has a limit."""
        return bool(self._limits)

    def get_answer_age(self, now: float) -> float | None:
        """Return the age of the last answer of a collector, in seconds; None before the first."""
        return None if self._answered_at is None else now - self._answered_at

    def admit(self, team: str, now: float, *, entries: int) -> Admission:
        """Decide about one request, and count it.

        Parameters
        ----------
        entries : int
            Entries that share the quota.
        """
        limit = self._limits.get(team)
        if limit is None:
            return Admission(0.0, 1.0, None)
        counts = self._counts.setdefault(team, [0, 0])
        counts[0] += 1
        age_s = self.get_answer_age(now)
        if age_s is not None and age_s <= FRESH_PERIODS * find_period(entries):
            admission = self._admit_shared(team, limit, now, age_s)
            if admission.is_admitted:
                # Where the answers end, what was admitted by them is not admitted once more.
                _find_bucket(self._alone, team, now).spend(_find_equal(limit, entries), now)
        else:
            admission = self._admit_alone(team, limit, now, entries)
        if admission.is_admitted:
            counts[1] += 1
        return admission

    def _admit_shared(self, team: str, limit: TeamLimit, now: float, age_s: float) -> Admission:
        """Admit the team's part; nothing beyond what one entry alone might admit."""
        part = self._parts.get(team, 1.0)
        if part < 1.0 and self._draw() >= part:
            return Admission(_find_return(part), part, age_s)
        # A second of the rate at least: a team may have no burst.
        own = limit._replace(burst=max(1.0, limit.burst, limit.rate_per_s))
        wait_s = _find_bucket(self._whole, team, now).take(own, now)
        return Admission(min(RETRY_MOST_S, wait_s), part, age_s)

    def _admit_alone(self, team: str, limit: TeamLimit, now: float, entries: int) -> Admission:
        """Admit by an equal part of the quota, at least one request at once."""
        equal = _find_equal(limit, entries)
        wait_s = _find_bucket(self._alone, team, now).take(equal, now)
        return Admission(min(RETRY_MOST_S, wait_s), 1.0 / entries, None)

    def give_back(self, team: str) -> None:
        """Return a request back that was admitted and then reached no target."""
        if team not in self._limits:
            return
        self._counts.setdefault(team, [0, 0])[1] -= 1
        for buckets in (self._alone, self._whole):
            if team in buckets:
                buckets[team].give_back()

    def close_period(self) -> Report:
        """End a period; give the report to send."""
        names = list(self._counts)[:TEAMS_REPORTED]
        counts = tuple(TeamCount(name, *self._counts.pop(name)) for name in names)
        self._number += 1
        self._periods.append(Period(self._number, counts))
        return Report(self._entry, self._life, tuple(self._periods))

    def take(self, answer: Shares, now: float) -> bool:
        """Take a collector's answer; False where it answers no report of the last periods."""
        if not self._number - PERIODS_SENT < answer.number <= self._number:
            return False
        self._answered_at = now
        self._parts = dict(answer.shares)
        return True


def _find_equal(limit: TeamLimit, entries: int) -> TeamLimit:
    """Return an entry's equal part of a limit, at least one request at once."""
    return TeamLimit(limit.rate_per_s / entries, max(1.0, limit.burst / entries))


def _find_bucket(buckets: dict[str, EntryBucket], team: str, now: float) -> EntryBucket:
    """Return the bucket of a team."""
    bucket = buckets.get(team)
    if bucket is None:
        bucket = buckets[team] = EntryBucket(now)
    return bucket


def _find_return(part: float) -> float:
    """Return the time until a refused caller likely finds room: the more are refused, the later."""
    crowd = 1.0 / max(part, 0.01) - 1.0
    return min(RETRY_MOST_S, max(RETRY_LEAST_S, RECOVERY_S * crowd))
