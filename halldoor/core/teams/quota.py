"""Team quotas over all entries: messages between entries and collectors, and their periods.

Load pattern: a team's callers are spread over all entries, each of which sees at most a few of its
requests a second, and the team suddenly sends many times its usual rate.  A single entry can't
notice that.  Giving each entry a fixed part of the quota would refuse requests within the quota,
because the requests of a small team reach only a few entries by chance.

So each entry reports, in short periods, how many requests it received and admitted to a collector,
which adds them up for the whole fleet.  For each team that exceeds its quota the collector answers
with a share: the fraction of the team's requests that every entry admits.  The same share fits all
entries, whether they get few or many requests.  Nothing of this is stored.  An entry without a
fresh answer admits an equal part of the quota, which the collector reserves for it.
"""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.bounds import Count, Name, Part, Revision

PERIOD_S = 0.3
"""Period of the reports of an entry of a fleet of up to `PERIOD_ENTRIES` entries, in seconds.

Including both messages, a share takes effect within two periods: 0.6 s.  A team that sends seven
times its usual rate exceeds its burst after 0.3 s.  Quotas are judged over windows of several
seconds, so the excess is compensated within the window.
"""
PERIOD_ENTRIES = 300
"""Largest number of entries with the period `PERIOD_S`.  With more, the period grows in proportion,
so that a collector gets at most 1,000 reports a second.  The longer the period, the more a team
can exceed its quota before its share takes effect."""
PERIODS_SENT = 2
"""Periods in each report: a single lost report loses no counts."""
FRESH_PERIODS = 2.0
"""Age of a collector's answer, in periods, up to which an entry uses it.

An entry that is cut off just when a team's requests rise admits all of them for this long.  One
answer of each collector may be lost.
"""
HANDOVER_PERIODS = 1.5
"""Age of the first collector's last answer, in periods, from which the second one's are used."""
RECOVERY_S = 1.0
"""Time in which shares bring a bucket's level back to 0, in seconds.

It is longer than the 0.6 s after which a share takes effect, so that levels don't oscillate, and
well below the window over which quotas are judged.
"""
COLLECTORS = 2
"""Number of collectors; with two, the crash of one loses no counts."""


class TeamCount(NamedTuple):
    """Requests of a team at one entry in one period.

    Attributes
    ----------
    asked, admitted : int
        Requests that were received, and those of them that were admitted.
    """

    team: Name
    asked: Count
    admitted: Count


class Period(NamedTuple):
    """The counts of one entry in one period.

    Attributes
    ----------
    number : int
        Number of the period since the entry's start, rising by 1.
    """

    number: Revision
    counts: tuple[TeamCount, ...]


class Report(NamedTuple):
    """An entry's report to the collectors: its last periods.

    Attributes
    ----------
    entry : str
        Name of the entry.
    life : int
        Number that distinguishes one start of the entry from another.
    periods : tuple of Period
        Last periods, at most `PERIODS_SENT`, oldest first.
    """

    entry: Name
    life: Revision
    periods: tuple[Period, ...]


class Share(NamedTuple):
    """The fraction of a team's requests that each entry admits now, below 1."""

    team: str
    part: Part


class Shares(NamedTuple):
    """A collector's answer to a report: the shares of the teams that exceed their quota.

    All requests of other teams are admitted.

    Attributes
    ----------
    number : int
        Number of the newest period in the report.
    """

    number: Revision
    shares: tuple[Share, ...]


def find_period(entries: int) -> float:
    """Return the period of the reports in a fleet of ``entries`` entries, in seconds."""
    return PERIOD_S * max(1.0, entries / PERIOD_ENTRIES)
