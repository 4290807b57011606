"""An entry's side of quotas: admit by the collector's shares or, without them, by an equal part."""

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
"""Most teams in one period of a report, so that it fits a datagram; others wait for the next."""
MIN_RETRY_AFTER_S = 0.25
"""Shortest time after which a refused caller may retry, in seconds: the level of its team's bucket
has changed by then."""
MAX_RETRY_AFTER_S = 5.0
"""Longest time after which a refused caller may retry, in seconds: a team that stopped exceeding
its quota is back at its rate by then."""


class EntryBucket:
    """A token bucket that limits what one entry admits of one team.

    Parameters
    ----------
    spent : float, optional
        Requests by which the bucket is below its burst at first.
    """

    def __init__(self, now: float, *, spent: float = 0.0) -> None:
        self._spent = spent
        self._updated_at = now

    def take_token(self, limit: TeamLimit, now: float) -> float:
        """Take a token for a request; return 0, or the seconds until one is free if none is."""
        self._refill(limit, now)
        if self._spent + 1.0 <= limit.burst:
            self._spent += 1.0
            return 0.0
        return (self._spent + 1.0 - limit.burst) / max(limit.rate_per_s, 1e-3)

    def charge(self, limit: TeamLimit, now: float) -> None:
        """Charge a request that was admitted by other rules, at most until the bucket is empty."""
        self._refill(limit, now)
        self._spent = min(limit.burst, self._spent + 1.0)

    def _refill(self, limit: TeamLimit, now: float) -> None:
        """Refill the bucket up to a time."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._spent = max(0.0, self._spent - elapsed_s * limit.rate_per_s)

    def return_token(self) -> None:
        """Return the token of one request."""
        self._spent = max(0.0, self._spent - 1.0)


class Admission(NamedTuple):
    """Whether a team's request is admitted, and what the decision was based on.

    Attributes
    ----------
    retry_after_s : float
        Time after which a refused caller may be admitted, in seconds; 0 if it is admitted.
    part : float
        Fraction admitted now: of the team's requests by the collector's answer, else of its quota.
    age_s : float or None
        Age of the collector's answer, in seconds; None if the entry used its equal part.
    """

    retry_after_s: float
    part: float
    age_s: float | None

    @property
    def is_admitted(self) -> bool:
        """Check whether the request is admitted."""
        return self.retry_after_s <= 0.0


class QuotaGate:
    """The quotas at one entry: admit by the collector's shares, or by an equal part without them.

    Parameters
    ----------
    entry : str
        Name of this entry.
    life : int
        Number that distinguishes this start of the entry from other starts.
    draw : callable
        Returns a random number in [0, 1); decides which of a team's requests are admitted.
    """

    def __init__(self, entry: str, life: int, draw: Callable[[], float]) -> None:
        self._entry = entry
        self._draw = draw
        self._life = life
        self._began_at: float | None = None
        self._limits: Mapping[str, TeamLimit] = {}
        self._shares: dict[str, float] = {}
        self._answered_at: float | None = None
        self._number = 0
        self._counts: dict[str, list[int]] = {}
        self._periods: deque[Period] = deque(maxlen=PERIODS_SENT)
        self._equal_buckets: dict[str, EntryBucket] = {}
        self._limit_buckets: dict[str, EntryBucket] = {}

    def start(self, now: float) -> None:
        """Record the start of this process, from which equal parts are filled.

        The earlier process of this entry may have used the burst just before it ended.  Without a
        call, equal parts are full at first.
        """
        self._began_at = now

    def set_limits(self, limits: Mapping[str, TeamLimit]) -> None:
        """Set the limits of the teams, by name."""
        self._limits = limits

    @property
    def has_limits(self) -> bool:
        """Check whether any team has a limit."""
        return bool(self._limits)

    def get_answer_age(self, now: float) -> float | None:
        """Return the age of a collector's last answer, in seconds; None before the first."""
        return None if self._answered_at is None else now - self._answered_at

    def admit(self, team: str, now: float, *, entries: int) -> Admission:
        """Decide whether to admit a request, and count it for the next report.

        Parameters
        ----------
        entries : int
            Number of entries that share the quota.
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
                # Charge the entry's own bucket too, so that it is not full when answers stop.
                equal = _compute_equal_limit(limit, entries)
                self._get_equal_bucket(team, equal, now).charge(equal, now)
        else:
            admission = self._admit_equal(team, limit, now, entries)
        if admission.is_admitted:
            counts[1] += 1
        return admission

    def _admit_shared(self, team: str, limit: TeamLimit, now: float, age_s: float) -> Admission:
        """Admit by the collector's share, and within the team's whole limit at this entry."""
        part = self._shares.get(team, 1.0)
        if part < 1.0 and self._draw() >= part:
            return Admission(_compute_retry_after(part), part, age_s)
        # At least one second of the rate: a team may have a burst of 0.
        own = limit._replace(burst=max(1.0, limit.burst, limit.rate_per_s))
        wait_s = _get_or_add_bucket(self._limit_buckets, team, now).take_token(own, now)
        return Admission(min(MAX_RETRY_AFTER_S, wait_s), part, age_s)

    def _admit_equal(self, team: str, limit: TeamLimit, now: float, entries: int) -> Admission:
        """Admit by this entry's equal part of the limit, when no answer is fresh."""
        equal = _compute_equal_limit(limit, entries)
        wait_s = self._get_equal_bucket(team, equal, now).take_token(equal, now)
        return Admission(min(MAX_RETRY_AFTER_S, wait_s), 1.0 / entries, None)

    def _get_equal_bucket(self, team: str, equal: TeamLimit, now: float) -> EntryBucket:
        """Return the bucket of a team's equal part, adding one that was empty at the start."""
        if self._began_at is None:
            return _get_or_add_bucket(self._equal_buckets, team, now)
        return _get_or_add_bucket(self._equal_buckets, team, self._began_at, spent=equal.burst)

    def uncount(self, team: str) -> None:
        """Uncount a request that was admitted and then reached no target."""
        if team not in self._limits:
            return
        self._counts.setdefault(team, [0, 0])[1] -= 1
        for buckets in (self._equal_buckets, self._limit_buckets):
            if team in buckets:
                buckets[team].return_token()

    def close_period(self) -> Report:
        """Close the current period and return the report to send to the collectors."""
        names = list(self._counts)[:TEAMS_REPORTED]
        counts = tuple(TeamCount(name, *self._counts.pop(name)) for name in names)
        self._number += 1
        self._periods.append(Period(self._number, counts))
        return Report(self._entry, self._life, tuple(self._periods))

    def apply_answer(self, answer: Shares, now: float) -> bool:
        """Apply a collector's answer; return False if it answers none of the latest reports."""
        if not self._number - PERIODS_SENT < answer.number <= self._number:
            return False
        self._answered_at = now
        self._shares = dict(answer.shares)
        return True


def _compute_equal_limit(limit: TeamLimit, entries: int) -> TeamLimit:
    """Return one entry's equal part of a limit, with a burst of at least one request."""
    return TeamLimit(limit.rate_per_s / entries, max(1.0, limit.burst / entries))


def _get_or_add_bucket(
    buckets: dict[str, EntryBucket], team: str, now: float, *, spent: float = 0.0
) -> EntryBucket:
    """Return the bucket of a team, adding one if it has none; for the rest see `EntryBucket`."""
    bucket = buckets.get(team)
    if bucket is None:
        bucket = buckets[team] = EntryBucket(now, spent=spent)
    return bucket


def _compute_retry_after(admitted_fraction: float) -> float:
    """Return when a refused caller should retry, in seconds: later if more requests are refused.

    Parameters
    ----------
    admitted_fraction : float
        Fraction of the team's requests that is admitted now, 0 to 1.
    """
    excess = 1.0 / max(admitted_fraction, 0.01) - 1.0
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, RECOVERY_S * excess))
