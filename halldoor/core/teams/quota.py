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

from typing import NamedTuple

PERIOD_S = 0.3
"""Period of the reports of an entry of a fleet of up to `PERIOD_ENTRIES` entries, in seconds.

With the way there and back a share is in force within two periods: 0.6 s.  A team that asks for
seven times its usual is over its burst after 0.3 s, and the window that is judged lasts for
seconds, so that what went over is made up for within it.
"""
PERIOD_ENTRIES = 300
"""Entries up to which the period holds; beyond, it grows with them, so that a collector never gets
more than 1,000 reports a second.  The longer it is, the more a hot team gets before its share is
in force."""
PERIODS_SENT = 2
"""Periods in each report: one report may be lost without a trace."""
FRESH_PERIODS = 2.0
"""Age of an answer, in periods, up to which an entry goes by it.

An entry that is cut off just as a team becomes hot admits all of it for so long.  One answer of
each collector may be lost.
"""
HANDOVER_PERIODS = 1.5
"""Age of the first collector's last answer, in periods, from which the second one's count."""
RECOVERY_S = 1.0
"""Time in which a bucket's level is spent or made up for, in seconds.

Above the 0.6 s after which a share is in force, so that levels don't swing; well below the
window that is judged.
"""
COLLECTORS = 2
"""Entries that collect, so that the death of one costs nothing."""


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
    """Return the period of reports of a fleet, in seconds."""
    return PERIOD_S * max(1.0, entries / PERIOD_ENTRIES)
