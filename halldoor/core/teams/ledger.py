"""The collector's side of quotas: what all entries admitted, and the shares that follow."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from halldoor.core.teams.quota import (
    FRESH_PERIODS,
    PERIOD_S,
    RECOVERY_S,
    Report,
    Share,
    TeamCount,
)
from halldoor.core.teams.team import TeamLimit

DEMAND_S = 1.0
"""Time over which what a team asks is averaged, in seconds: three periods of every entry."""
SILENCE_S = 1.0
"""Time without a report after which an entry is heard anew, in seconds."""
LATE_PERIODS = 1.5
"""Time without a report, in periods, from which it is late: lost, or its entry is cut off."""
SILENT_S = 60.0
"""Time for which a silent entry is taken to serve on with its equal part, in seconds.

An entry that is cut off still serves callers; one that died is reckoned with for no longer.
"""
DEBT_S = 2.0
"""Deepest level of a bucket, in seconds of its rate: with more, a team would get nothing long
after others stopped asking for it."""
YOUNG_PERIODS = 3.0
"""Time, in periods, that a collector counts before it answers.

It does not know what was asked before, so that it would admit a hot team whole; until then
entries go by the other collector's answers, or by equal parts.
"""
RENEWAL_SHARE = 0.25
"""Part of a period for which computed shares serve: reports of all entries come within one."""
START_LEVEL = -0.5
"""Level of a bucket when its collector begins to count, in parts of the burst.

What was admitted just before is not known, and a hot team would pass its bound where a collector
that restarted under it began at 0.  A team below its rate notices nothing after the first second.
"""
BUCKET_SHARE = 0.9
"""Part of a team's burst that the collector hands out at once; the rest covers the time until a
share is in force."""


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
        """Return the average; of a young bucket, over the time that it exists."""
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

    def find_part(self, limit: TeamLimit, *, unheard: float) -> float:
        """Return the part of the team's requests that may be admitted: 0 to 1.

        Parameters
        ----------
        unheard : float
            Requests that entries whose reports are late have likely admitted.
        """
        level = min(limit.burst, self.level - unheard)
        allowed_per_s = limit.rate_per_s + level / RECOVERY_S
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
    last_counts : tuple of TeamCount
        What it counted in its newest period.
    is_charged : bool
        What it admitted after its last report, until it went by its equal part, is charged.
    """

    def __init__(self, life: int, now: float) -> None:
        self.life = life
        self.since = self.heard_at = now
        self.last_number = -1
        self.last_counts: tuple[TeamCount, ...] = ()
        self.is_charged = False


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
        reporter.is_charged = False
        if self._first_at is None:
            self._first_at = now
        for period in report.periods:
            if period.number > reporter.last_number:
                reporter.last_number = period.number
                reporter.last_counts = period.counts
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
        """Return a team's limit, less what silent entries may admit; None where it has none."""
        limit = self._limits.get(team)
        if limit is None:
            return None
        return TeamLimit(limit.rate_per_s * self._left, limit.burst * self._left)

    def is_young(self, now: float, *, period_s: float) -> bool:
        """Check whether it counts for too short a time to answer."""
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
        unheard = self._estimate_unheard(now, period_s=period_s)
        shares = []
        for name, bucket in self._buckets.items():
            limit = self._find_limit(name)
            if limit is None:
                continue
            bucket.advance(limit, now)
            part = bucket.find_part(limit, unheard=unheard[name])
            if part < 1.0:
                shares.append(Share(name, part))
        self._shares = tuple(shares)
        return self._shares

    def _estimate_unheard(self, now: float, *, period_s: float) -> Counter[str]:
        """Estimate what entries admitted since their last reports, where those are late.

        An entry that was cut off goes by its last answer for a while; once that is over, what it
        admitted is charged for good.
        """
        late = [
            (reporter, periods)
            for reporter in self._reporters.values()
            if (periods := (now - reporter.heard_at) / period_s) >= LATE_PERIODS
            and not reporter.is_charged
        ]
        unheard: Counter[str] = Counter()
        if not late:
            return unheard  # Mostly so, and adding up what all admitted takes milliseconds.
        usual = self._find_usual(now, period_s=period_s)
        for reporter, periods in late:
            # A team that just became hot is so at the entries that are not heard, too.
            admitted = usual | Counter({c.team: c.admitted for c in reporter.last_counts})
            if periods < FRESH_PERIODS:
                unheard.update({team: n * periods for team, n in admitted.items()})
                continue
            reporter.is_charged = True
            for team, n in admitted.items():
                if team in self._buckets:
                    self._buckets[team].level -= n * FRESH_PERIODS
        return unheard

    def _find_usual(self, now: float, *, period_s: float) -> Counter[str]:
        """Find what an entry admits in a period, on average over those that are heard."""
        heard = [r for r in self._reporters.values() if now - r.heard_at < LATE_PERIODS * period_s]
        total: Counter[str] = Counter()
        for reporter in heard:
            total.update({count.team: count.admitted for count in reporter.last_counts})
        return Counter({team: n / len(heard) for team, n in total.items()})

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
