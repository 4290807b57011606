"""Quotas of teams over all entries together: what is counted where, and who may be admitted.

Load pattern: a team whose callers are spread over all entries, each of which sees a few of its
requests a second or fewer, and which suddenly asks for many times its usual.  No entry alone can
tell; and a part of the quota for each entry would refuse what the fleet has room for, because
the requests of a small team fall on a few entries by chance.

So entries report what they were asked and what they admitted, in short periods, to a collector,
which counts for the whole fleet.  It answers with a share for each team that asks for more than
it may: the part of its requests that every entry admits.  A share fits few and many requests
alike, and all entries may have the same.  All of it is soft state.  An entry without a fresh
answer keeps to an equal part of the quota, which the collector leaves to it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from halldoor.core.teams.team import TeamLimit

PERIOD_S = 0.3
"""Period of the reports of an entry of a fleet of up to `PERIOD_ENTRIES` entries, in seconds.

With the way there and back a share is in force within two periods: 0.6 s.  A team that asks for
seven times its usual is over its burst after 0.3 s, and the window that is judged lasts for
seconds, so that what went over is made up for within it.
"""
PERIOD_ENTRIES = 300
"""Entries up to which the period holds; beyond, it grows with them, so that a collector never gets
more than 1,000 reports a second.  At a period of 0.9 s a team that asked for 7.5 times its usual
got a sixth more in 5 s than it may, at 0.3 s a tenth less (simulated, 300 entries)."""
PERIODS_SENT = 2
"""Periods in each report: one report may be lost without a trace."""
FRESH_PERIODS = 3.5
"""Age of an answer, in periods, up to which an entry goes by it: two may be lost."""
COLLECTORS = 2
"""Entries that collect, so that the death of one costs nothing."""
DEMAND_S = 1.0
"""Time over which what a team asks is averaged, in seconds: three periods of every entry."""
RECOVERY_S = 1.0
"""Time in which a bucket's level is spent or made up for, in seconds.

Above the 0.6 s after which a share is in force, so that levels don't swing; well below the
window that is judged.
"""
SILENCE_S = 1.0
"""Time without a report after which an entry is heard anew, in seconds."""
SILENT_S = 60.0
"""Time for which a silent entry is taken to serve on with its equal part, in seconds.

An entry that is cut off still serves callers; one that died is reckoned with for no longer.
"""
DEBT_S = 2.0
"""Deepest level of a bucket, in seconds of its rate: with more, a team would get nothing long
after others stopped asking for it."""
TEAMS_REPORTED = 64
"""Teams in one period of a report; others wait for the next, so that a report fits a datagram."""
YOUNG_PERIODS = 3.0
"""Time, in periods, that a collector counts before it answers.

It does not know what was asked before, so that it would admit a hot team whole; until then
entries go by the last answer, which is fresh for a little longer.
"""
RENEWAL_SHARE = 0.25
"""Part of a period for which computed shares serve: reports of all entries come within one."""
START_LEVEL = -0.5
"""Level of a bucket when its collector begins to count, in parts of the burst.

What was admitted just before is not known.  A team below its rate notices nothing of it after the
first second; a hot one got 4% more than the bound of 5 s where a collector that restarted under
it began at 0.
"""
BUCKET_SHARE = 0.9
"""Part of a team's burst that the collector hands out at once; the rest covers the time until a
share is in force."""

RETRY_LEAST_S = 0.25
"""Least time after which a refused caller may come back, in seconds: the level of its team's
bucket has changed then."""
RETRY_MOST_S = 5.0
"""Longest such time, in seconds: a team that stopped asking for too much is at its rate by then."""


class TeamCount(NamedTuple):
    """Requests of a team at one entry in one period.

    Attributes
    ----------
    asked, admitted : int
        Requests that came, and those of them that went on to a target.
    """

    team: str
    asked: int
    admitted: int


class Period(NamedTuple):
    """What an entry counted in one period.

    Attributes
    ----------
    number : int
        Number of the period in this life of the entry, rising.
    """

    number: int
    counts: tuple[TeamCount, ...]


class Report(NamedTuple):
    """An entry's report: its last periods.

    Attributes
    ----------
    life : int
        Tells one start of the entry from another.
    """

    entry: str
    life: int
    periods: tuple[Period, ...]


class Share(NamedTuple):
    """The part of a team's requests that each entry admits now, below 1."""

    team: str
    part: float


class Shares(NamedTuple):
    """A collector's answer: teams that are not named are admitted whole.

    Attributes
    ----------
    number : int
        Number of the newest period that the report held.
    """

    number: int
    shares: tuple[Share, ...]


def find_period(entries: int) -> float:
    """Give the period of reports of a fleet, in seconds."""
    return PERIOD_S * max(1.0, entries / PERIOD_ENTRIES)


class _Bucket:
    """The token bucket of one team for the whole fleet.

    Attributes
    ----------
    level : float
        Requests that may be admitted at once; below 0 where more were than should.
    """

    def __init__(self, limit: TeamLimit, now: float) -> None:
        self.level = START_LEVEL * limit.burst
        self._asked_per_s = 0.0
        self._began_at = now
        self._at = now

    @property
    def demand_per_s(self) -> float:
        """Give the average; of a young bucket, over the time that it exists."""
        age_s = max(self._at - self._began_at, PERIOD_S)
        return self._asked_per_s / -math.expm1(-age_s / DEMAND_S)

    def advance(self, limit: TeamLimit, now: float) -> None:
        """Let the bucket fill, and the demand fade."""
        passed_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self.level = min(BUCKET_SHARE * limit.burst, self.level + passed_s * limit.rate_per_s)
        self._asked_per_s *= math.exp(-passed_s / DEMAND_S)

    def add(self, count: TeamCount, limit: TeamLimit) -> None:
        """Take a count."""
        self._asked_per_s += count.asked / DEMAND_S
        self.level = max(-DEBT_S * limit.rate_per_s, self.level - count.admitted)

    def find_part(self, limit: TeamLimit) -> float:
        """Give the part of the team's requests that may be admitted: 0 to 1."""
        allowed_per_s = limit.rate_per_s + self.level / RECOVERY_S
        demand_per_s = self.demand_per_s
        if demand_per_s <= max(0.0, allowed_per_s):
            return 1.0
        return max(0.0, allowed_per_s / demand_per_s)


class _Reporter:
    """An entry as the collector knows it.

    Attributes
    ----------
    since : float
        When it was heard first, or again after a silence.
    """

    def __init__(self, life: int, now: float) -> None:
        self.life = life
        self.since = self.heard_at = now
        self.last_number = -1


class QuotaLedger:
    """The collector's side: what all entries admitted, and the shares that follow."""

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._limits: Mapping[str, TeamLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._left = 1.0
        self._shares: tuple[Share, ...] = ()
        self._computed_at = -math.inf

    def use(self, limits: Mapping[str, TeamLimit], now: float) -> None:
        """Use other limits from now on; what was counted stays counted."""
        self._limits = limits
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(limit, now) for name, limit in limits.items()
        }
        self._computed_at = -math.inf

    def take(self, report: Report, now: float) -> None:
        """Take a report; a period that came before counts nothing."""
        reporter = self._reporters.get(report.entry)
        if reporter is None or reporter.life != report.life:
            reporter = self._reporters[report.entry] = _Reporter(report.life, now)
        if now - reporter.heard_at > SILENCE_S:
            reporter.since = now
        reporter.heard_at = now
        if self._first_at is None:
            self._first_at = now
        for period in report.periods:
            if period.number > reporter.last_number:
                reporter.last_number = period.number
                self._add(period.counts, now)

    def _add(self, counts: Iterable[TeamCount], now: float) -> None:
        """Count a period."""
        for count in counts:
            limit = self._find_limit(count.team)
            if limit is not None:
                bucket = self._buckets[count.team]
                bucket.advance(limit, now)
                bucket.add(count, limit)

    def _find_limit(self, team: str) -> TeamLimit | None:
        """Give a team's limit, less what silent entries may admit; None where it has none."""
        limit = self._limits.get(team)
        if limit is None:
            return None
        return TeamLimit(limit.rate_per_s * self._left, limit.burst)

    def is_young(self, now: float, *, period_s: float) -> bool:
        """Tell whether it counts for too short a time to answer."""
        return self._first_at is None or now - self._first_at < YOUNG_PERIODS * period_s

    def compute_shares(self, now: float, *, entries: int, period_s: float) -> tuple[Share, ...]:
        """Compute the shares of the teams that ask for more than they may.

        Parameters
        ----------
        entries : int
            Entries of the fleet that are registered.
        period_s : float
            Period of their reports, in seconds.
        """
        if now - self._computed_at < RENEWAL_SHARE * period_s:
            return self._shares
        self._computed_at = now
        self._left = self._find_part_left(now, entries=entries, period_s=period_s)
        shares = []
        for name, bucket in self._buckets.items():
            limit = self._find_limit(name)
            if limit is None:
                continue
            bucket.advance(limit, now)
            part = bucket.find_part(limit)
            if part < 1.0:
                shares.append(Share(name, part))
        self._shares = tuple(shares)
        return self._shares

    def _find_part_left(self, now: float, *, entries: int, period_s: float) -> float:
        """Find the part of the quotas that silent entries don't use.

        An entry that never reported counts as one that fell silent: it may be cut off from the
        start, and serves on with its equal part.
        """
        fresh = 0
        for name, reporter in list(self._reporters.items()):
            age_s = now - reporter.heard_at
            if age_s > SILENT_S:
                del self._reporters[name]
            elif (
                age_s <= FRESH_PERIODS * period_s
                and now - reporter.since >= YOUNG_PERIODS * period_s
            ):
                # Before, what it is asked is known in part only.
                fresh += 1
        known = max(entries, len(self._reporters), 1)
        return fresh / known


class EntryBucket:
    """A token bucket of one entry, for what it may admit alone."""

    def __init__(self, now: float) -> None:
        self._spent = 0.0
        self._at = now

    def take(self, limit: TeamLimit, now: float) -> float:
        """Take one request; give the time in seconds until there is room, 0 where it was taken."""
        passed_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self._spent = max(0.0, self._spent - passed_s * limit.rate_per_s)
        if self._spent + 1.0 <= limit.burst:
            self._spent += 1.0
            return 0.0
        return (self._spent + 1.0 - limit.burst) / max(limit.rate_per_s, 1e-3)

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
        """Tell whether the request may go on."""
        return self.retry_after_s <= 0.0


class QuotaGate:
    """An entry's side: admit by the collector's shares, or by an equal part without them.

    Parameters
    ----------
    life : int
        Tells this start of the entry from others.
    source : random.Random
        Draws which of a team's requests are its part.
    """

    def __init__(self, entry: str, life: int, source: Random) -> None:
        self._entry = entry
        self._random = source
        self._life = life
        self._limits: Mapping[str, TeamLimit] = {}
        self._parts: dict[str, float] = {}
        self._answered_at: float | None = None
        self._number = 0
        self._counts: dict[str, list[int]] = {}
        self._periods: deque[Period] = deque(maxlen=PERIODS_SENT)
        self._alone: dict[str, EntryBucket] = {}

    def use(self, limits: Mapping[str, TeamLimit]) -> None:
        """Use other limits from now on."""
        self._limits = limits

    @property
    def has_limits(self) -> bool:
        """Tell whether any team has a limit."""
        return bool(self._limits)

    def get_answer_age(self, now: float) -> float | None:
        """Give the age of the last answer of a collector, in seconds; None before the first."""
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
        else:
            admission = self._admit_alone(team, limit, now, entries)
        if admission.is_admitted:
            counts[1] += 1
        return admission

    def _admit_shared(self, team: str, limit: TeamLimit, now: float, age_s: float) -> Admission:
        """Admit the team's part; nothing beyond what one entry alone might admit."""
        part = self._parts.get(team, 1.0)
        if part < 1.0 and self._random.random() >= part:
            return Admission(_find_return(part), part, age_s)
        wait_s = self._find_bucket(team, now).take(limit, now)
        return Admission(min(RETRY_MOST_S, wait_s), part, age_s)

    def _admit_alone(self, team: str, limit: TeamLimit, now: float, entries: int) -> Admission:
        """Admit by an equal part of the quota, at least one request at once."""
        equal = TeamLimit(limit.rate_per_s / entries, max(1.0, limit.burst / entries))
        wait_s = self._find_bucket(team, now).take(equal, now)
        return Admission(min(RETRY_MOST_S, wait_s), 1.0 / entries, None)

    def _find_bucket(self, team: str, now: float) -> EntryBucket:
        """Give this entry's own bucket of a team."""
        bucket = self._alone.get(team)
        if bucket is None:
            bucket = self._alone[team] = EntryBucket(now)
        return bucket

    def give_back(self, team: str) -> None:
        """Give a request back that was admitted and then reached no target."""
        if team not in self._limits:
            return
        self._counts.setdefault(team, [0, 0])[1] -= 1
        if team in self._alone:
            self._alone[team].give_back()

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


def _find_return(part: float) -> float:
    """Give the time until a refused caller likely finds room: the more are refused, the later."""
    crowd = 1.0 / max(part, 0.01) - 1.0
    return min(RETRY_MOST_S, max(RETRY_LEAST_S, RECOVERY_S * crowd))
