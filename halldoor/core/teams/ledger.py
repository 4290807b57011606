"""The collector's side of quotas: count what all entries admit, and compute the teams' shares."""

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
"""Time over which the requests of a team are averaged, in seconds: three periods of every entry."""
NEW_AFTER_S = 1.0
"""Time without a report after which an entry that reports again counts as new, in seconds."""
LATE_PERIODS = 1.5
"""Time without a report, in periods, from which a report is late: lost, or its entry cut off."""
SILENT_ENTRY_S = 60.0
"""Time for which a silent entry is assumed to admit its equal part of the quotas, in seconds.

An entry that is cut off still serves callers; one that crashed is dropped after this time.
"""
REPORTERS_KEPT = 4_096
"""Entries whose reports are kept, the first ones that reported."""
MAX_DEBT_S = 2.0
"""Lowest level of a bucket, in seconds of its rate below 0: any lower, and a team would still be
refused long after it stopped exceeding its quota."""
WARM_UP_PERIODS = 3.0
"""Periods for which a newly started collector counts before it answers.

It lacks the counts from before its start and would admit every request of a team that exceeds its
quota.  Until then entries use the other collector's answers, or equal parts.
"""
REUSE_PERIODS = 0.25
"""Part of a period for which computed shares are reused: the reports of all entries arrive within
one period, and the shares are not computed again for each."""
START_LEVEL = -0.5
"""Level of a bucket when its collector starts to count, in parts of the burst.

Requests admitted just before are not counted: starting at 0 after a restart would let a team that
is at its limit exceed it.  A team below its rate is not affected after the first second.
"""
BUCKET_SHARE = 0.9
"""Part of a team's burst that the collector grants; the rest covers requests that are admitted
before a new share takes effect."""


class _Bucket:
    """The token bucket of one team for the whole fleet.

    Attributes
    ----------
    level : float
        Requests that may be admitted at once; below 0 if too many were admitted.
    """

    def __init__(self, limit: TeamLimit, now: float) -> None:
        self.level = START_LEVEL * limit.burst
        self._asked_per_s = 0.0
        self._created_at = now
        self._updated_at = now

    @property
    def demand_per_s(self) -> float:
        """Return the team's average rate of requests; over its lifetime for a new bucket."""
        age_s = max(self._updated_at - self._created_at, PERIOD_S)
        return self._asked_per_s / -math.expm1(-age_s / DEMAND_S)

    def advance(self, limit: TeamLimit, now: float) -> None:
        """Refill the bucket and decay the average demand up to a time."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self.level = min(BUCKET_SHARE * limit.burst, self.level + elapsed_s * limit.rate_per_s)
        self._asked_per_s *= math.exp(-elapsed_s / DEMAND_S)

    def add(self, count: TeamCount, limit: TeamLimit) -> None:
        """Add the requests that an entry counted in one period."""
        self._asked_per_s += count.asked / DEMAND_S
        self.level = max(-MAX_DEBT_S * limit.rate_per_s, self.level - count.admitted)

    def compute_admitted_fraction(self, limit: TeamLimit, *, unreported: float) -> float:
        """Return the fraction of the team's requests to admit, from 0 to 1.

        Parameters
        ----------
        unreported : float
            Estimate of the requests that entries with late reports have admitted.
        """
        level = min(limit.burst, self.level - unreported)
        allowed_per_s = limit.rate_per_s + level / RECOVERY_S
        demand_per_s = self.demand_per_s
        if demand_per_s <= max(0.0, allowed_per_s):
            return 1.0
        return max(0.0, allowed_per_s / demand_per_s)


class _Reporter:
    """The reports of one entry, as received by a collector.

    Attributes
    ----------
    life : int
        Number that distinguishes one start of the entry from another.
    reporting_since : float
        Time of its first report, or of the first one after a silence, in seconds.
    reported_at : float
        Time of its last report, in seconds.
    last_number : int
        Number of its newest period; -1 before the first.
    last_counts : tuple of TeamCount
        Counts of its newest period.
    is_charged : bool
        Whether its team buckets were charged for what it admitted between its last report and its
        fallback to its equal part.
    """

    def __init__(self, life: int, now: float) -> None:
        self.life = life
        self.reporting_since = self.reported_at = now
        self.last_number = -1
        self.last_counts: tuple[TeamCount, ...] = ()
        self.is_charged = False


class QuotaLedger:
    """Counts of all entries at a collector, and the teams' shares computed from them."""

    def __init__(self) -> None:
        self._first_report_at: float | None = None
        self._limits: Mapping[str, TeamLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._unreserved_fraction = 1.0
        self._shares: tuple[Share, ...] = ()
        self._computed_at = -math.inf

    def set_limits(self, limits: Mapping[str, TeamLimit], now: float) -> None:
        """Set the limits of the teams; earlier counts are kept."""
        self._limits = limits
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(limit, now) for name, limit in limits.items()
        }
        self._computed_at = -math.inf

    def add_report(self, report: Report, now: float) -> None:
        """Add an entry's report; periods that an earlier report held are not counted again."""
        reporter = self._reporters.get(report.entry)
        if reporter is None and len(self._reporters) >= REPORTERS_KEPT:
            return
        if reporter is None or reporter.life != report.life:
            reporter = self._reporters[report.entry] = _Reporter(report.life, now)
        if now - reporter.reported_at > NEW_AFTER_S:
            reporter.reporting_since = now
        reporter.reported_at = now
        reporter.is_charged = False
        if self._first_report_at is None:
            self._first_report_at = now
        for period in report.periods:
            if period.number > reporter.last_number:
                reporter.last_number = period.number
                counts = {c.team: c for c in period.counts if c.team in self._limits}
                reporter.last_counts = tuple(counts.values())
                self._add(period.counts, now)

    def _drop_silent(self, now: float) -> None:
        """Drop the entries that have not reported for long."""
        self._reporters = {
            name: reporter
            for name, reporter in self._reporters.items()
            if now - reporter.reported_at <= SILENT_ENTRY_S
        }

    def _add(self, counts: Iterable[TeamCount], now: float) -> None:
        """Add the counts of one period to the teams' buckets."""
        for count in counts:
            limit = self._get_reduced_limit(count.team)
            if limit is not None:
                bucket = self._buckets[count.team]
                bucket.advance(limit, now)
                bucket.add(count, limit)

    def _get_reduced_limit(self, team: str) -> TeamLimit | None:
        """Return a team's limit less the equal parts of silent entries; None if it has no limit."""
        limit = self._limits.get(team)
        if limit is None:
            return None
        return TeamLimit(
            limit.rate_per_s * self._unreserved_fraction, limit.burst * self._unreserved_fraction
        )

    def is_newly_started(self, now: float, *, period_s: float) -> bool:
        """Check whether this collector has counted for too short a time to answer."""
        return (
            self._first_report_at is None
            or now - self._first_report_at < WARM_UP_PERIODS * period_s
        )

    def compute_shares(self, now: float, *, entries: int, period_s: float) -> tuple[Share, ...]:
        """Return the shares of the teams that exceed their quota, cached for a short time.

        Parameters
        ----------
        entries : int
            Number of registered entries of the fleet.
        period_s : float
            Period of the entries' reports, in seconds.
        """
        if now - self._computed_at < REUSE_PERIODS * period_s:
            return self._shares
        self._computed_at = now
        self._unreserved_fraction = self._compute_unreserved_fraction(
            now, entries=entries, period_s=period_s
        )
        unreported = self._estimate_unreported(now, period_s=period_s)
        shares = []
        for name, bucket in self._buckets.items():
            limit = self._get_reduced_limit(name)
            if limit is None:
                continue
            bucket.advance(limit, now)
            part = bucket.compute_admitted_fraction(limit, unreported=unreported[name])
            if part < 1.0:
                shares.append(Share(name, part))
        self._shares = tuple(shares)
        return self._shares

    def _estimate_unreported(self, now: float, *, period_s: float) -> Counter[str]:
        """Estimate the requests of each team that entries with late reports have admitted.

        An entry that was cut off uses its last answer for `FRESH_PERIODS`.  After that, what it
        admitted in that time is charged to the buckets once.
        """
        late = [
            (reporter, periods)
            for reporter in self._reporters.values()
            if (periods := (now - reporter.reported_at) / period_s) >= LATE_PERIODS
            and not reporter.is_charged
        ]
        unreported: Counter[str] = Counter()
        if not late:
            return unreported  # The common case; adding up all entries' counts takes milliseconds.
        average = self._average_admitted(now, period_s=period_s)
        for reporter, periods in late:
            # A sudden rise of a team's requests is assumed at entries with late reports, too.
            admitted = average | Counter({c.team: c.admitted for c in reporter.last_counts})
            if periods < FRESH_PERIODS:
                unreported.update({team: n * periods for team, n in admitted.items()})
                continue
            reporter.is_charged = True
            for team, n in admitted.items():
                if team in self._buckets:
                    self._buckets[team].level -= n * FRESH_PERIODS
        return unreported

    def _average_admitted(self, now: float, *, period_s: float) -> Counter[str]:
        """Return what one entry admits per period, averaged over entries that report in time."""
        reporting = [
            r for r in self._reporters.values() if now - r.reported_at < LATE_PERIODS * period_s
        ]
        total: Counter[str] = Counter()
        for reporter in reporting:
            total.update({count.team: count.admitted for count in reporter.last_counts})
        return Counter({team: n / len(reporting) for team, n in total.items()})

    def _compute_unreserved_fraction(self, now: float, *, entries: int, period_s: float) -> float:
        """Return the fraction of the quotas that is not reserved for silent entries.

        A silent entry admits its equal part.  A registered entry that never reported counts as
        silent, since it may have been cut off since its start.
        """
        self._drop_silent(now)
        # An entry that has just begun to report has incomplete counts.
        fresh = sum(
            now - reporter.reported_at <= FRESH_PERIODS * period_s
            and now - reporter.reporting_since >= WARM_UP_PERIODS * period_s
            for reporter in self._reporters.values()
        )
        expected_entries = max(entries, len(self._reporters), 1)
        return fresh / expected_entries
