"""Detection of outages of the store, from the times of its answers to any entry.

The record of a live target can only expire during an outage of the store.  A cut watch, a lost
history or a refused call are no sign of an outage: any answer to any call, also to another entry's
call, proves that the store is available.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.bounds import SignedSeconds

SUSPENSION_S = 1.0
"""Time between two ticks from which the process counts as suspended meanwhile, in seconds."""
SILENCE_S = 2.0
"""Time without any answer from which the store counts as unavailable, in seconds: several calls
have failed by then."""
STABLE_CONTACT_S = 1.5
"""Time in which every live target writes its record once, in seconds.  Two outages with a shorter
time between them count as one."""
RECORD_LIFETIME_S = 4.5
"""Time after its last write in which a record expires, in seconds."""


class Outage(NamedTuple):
    """An outage: a time in which the store didn't answer, in seconds of the steady clock.

    Attributes
    ----------
    began_at, ended_at : float
        Times of the last answer before it, and of the first answer after it.
    """

    began_at: float
    ended_at: float

    @property
    def length_s(self) -> float:
        """Length of the outage, in seconds."""
        return self.ended_at - self.began_at


class Lapse(NamedTuple):
    """The expiry of a target's record during an outage of the store.

    Attributes
    ----------
    until : float
        Time at which the target is dropped unless its record was written again.
    away_s : float
        Length of the outage, in seconds.
    """

    until: float
    away_s: float


class ContactSpan(NamedTuple):
    """A time in which the store answered without an outage, in seconds of the steady clock."""

    since: float
    until: float


class ContactReport(NamedTuple):
    """An entry's contact with the store, as it reports it to other entries.

    Attributes
    ----------
    since_s : float
        Time since its uninterrupted contact began, in seconds.
    heard_s : float
        Time since the store's last answer, in seconds.
    """

    since_s: SignedSeconds
    heard_s: SignedSeconds


class StoreContact:
    """The store's contact with this entry and, as they report it, with others.

    Attributes
    ----------
    outage : Outage or None
        The store's last outage.
    """

    def __init__(self) -> None:
        self.outage: Outage | None = None
        self._applied_until = 0.0
        self._ticked_at: float | None = None
        self._suspended_until = -math.inf
        self._silent_from: float | None = None
        self._answered_at = 0.0
        self._since: float | None = None

    def record_tick(self, now: float) -> None:
        """Record that this process runs, to detect times in which it was suspended.

        While it is suspended it makes no calls and gets no answers, so that time is no outage.
        """
        suspended_s = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        if suspended_s > SUSPENSION_S and self._silent_from is not None:
            self._silent_from = min(now, self._silent_from + suspended_s)
            self._since = None
            self._suspended_until = now

    def record_answer(self, now: float) -> None:
        """Record that the store answered a call of this entry."""
        self.record_span(ContactSpan(now, now), now)

    def record_span(self, span: ContactSpan, now: float) -> None:
        """Record a time in which the store answered this entry, or an entry that reported it."""
        self.record_tick(now)
        if span.since > span.until:
            return
        if self._silent_from is None:
            self._silent_from = span.since
        if span.until >= self._silent_from:
            self._record_outage(self._silent_from, max(span.since, self._silent_from))
            self._silent_from = self._answered_at = span.until
        self._shorten_outage(span)
        if self._since is None or span.since < self._since <= span.until:
            self._since = span.since

    def _record_outage(self, began_at: float, ended_at: float) -> None:
        """Record a time without answers as an outage, if it is long enough."""
        if ended_at - began_at < SILENCE_S:
            return
        previous = self.outage
        if previous is not None and began_at - previous.ended_at < STABLE_CONTACT_S:
            began_at = previous.began_at
        self.outage = Outage(began_at, ended_at)
        self._since = ended_at

    def _shorten_outage(self, span: ContactSpan) -> None:
        """Move the end of the last outage back if another entry was in contact before."""
        outage = self.outage
        if outage is None or span.until < outage.ended_at - SILENCE_S:
            return
        self.outage = outage._replace(
            ended_at=max(outage.began_at, min(span.since, outage.ended_at))
        )

    def record_applied_until(self, until: float) -> None:
        """Record the time up to which every change has been applied."""
        self._applied_until = max(self._applied_until, until)

    def find_outage(self, now: float) -> Outage:
        """Return the outage in which a record whose removal arrives now may have expired.

        It is the present time without answers if that is long enough, else the last outage if
        removals in it may still arrive, else an outage of length 0.  Another entry's changes may
        arrive before its report of when the store answered, so an outage may be known too late.
        """
        silent_from = self._silent_from if self._silent_from is not None else now
        began_at = max(silent_from, self._applied_until)
        if now - began_at >= SILENCE_S:
            return Outage(began_at, now)
        if self.outage is None or self.outage.ended_at <= self._applied_until:
            return Outage(self._applied_until, self._applied_until)
        return self.outage

    def can_distinguish_removals(self, now: float) -> bool:
        """Check whether this entry can distinguish a removed record from an expired one.

        While the process was suspended, the store may have been unavailable for any time.
        """
        return now - self._suspended_until >= RECORD_LIFETIME_S

    def get_report(self, now: float) -> ContactReport | None:
        """Return the report for other entries; None if the store never answered."""
        if self._since is None:
            return None
        return ContactReport(now - self._since, now - self._answered_at)


def compute_contact_span(
    report: ContactReport, *, sent_at: float, held_s: float, received_at: float
) -> ContactSpan:
    """Return the time span for which an entry's report proves contact with the store.

    Message delays only shorten it.

    Parameters
    ----------
    sent_at, received_at : float
        Times at which the poll was sent and its answer arrived.
    held_s : float
        Time for which the other entry held the poll before it answered, in seconds.
    """
    return ContactSpan(received_at - report.since_s, sent_at + held_s - report.heard_s)
