"""When the store answered, and for how long it answered nobody.

A record whose writer lives can only run out while the store is away.  A cut watch, a lost history
or a call that was turned away are no sign of that: any answer to any call is proof that the store
is there, also one to another entry.
"""

from __future__ import annotations

import math
from typing import NamedTuple

STALL_S = 1.0
"""Time between two ticks after which the process stood still meanwhile, in seconds."""
SILENCE_S = 2.0
"""Time without any answer after which the store may be away, in seconds: several calls failed."""
STEADY_S = 1.5
"""Time in which every live target writes its record once, in seconds; a shorter return of the
store between two silences does not end its absence."""
LIFE_S = 4.5
"""Time after its last write in which a record runs out, in seconds."""


class Absence(NamedTuple):
    """A time in which the store gave no answer, in seconds of the steady clock.

    Attributes
    ----------
    ended_at : float
        When the first answer after it came in.
    """

    began_at: float
    ended_at: float

    @property
    def length_s(self) -> float:
        """Length in seconds."""
        return self.ended_at - self.began_at


class Lapse(NamedTuple):
    """A record that lapsed while the store was away.

    Attributes
    ----------
    until : float
        When the target is dropped unless its record is back.
    away_s : float
        How long the store was away, in seconds.
    """

    until: float
    away_s: float


class ContactSpan(NamedTuple):
    """A time in which the store answered again and again, in seconds of the steady clock."""

    since: float
    until: float


class ContactReport(NamedTuple):
    """What an entry tells others of its contact with the store.

    Attributes
    ----------
    since_s : float
        Time since its contact began, in seconds.
    heard_s : float
        Time since the last answer, in seconds.
    """

    since_s: float
    heard_s: float


class StoreContact:
    """The answers of the store, to this entry and, as they report, to others.

    Attributes
    ----------
    absence : Absence or None
        The store's last absence.
    """

    def __init__(self) -> None:
        self.absence: Absence | None = None
        self._known_until = 0.0
        self._ticked_at: float | None = None
        self._stood_until = -math.inf
        self._silent_from: float | None = None
        self._heard_at = 0.0
        self._since: float | None = None

    def tick(self, now: float) -> None:
        """Record that this process runs: while it stands still it hears no answer, nor asks."""
        stood_s = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        if stood_s > STALL_S and self._silent_from is not None:
            self._silent_from = min(now, self._silent_from + stood_s)
            self._since = None
            self._stood_until = now

    def note_answer(self, now: float) -> None:
        """Record that the store answered a call of this entry."""
        self.note_span(ContactSpan(now, now), now)

    def note_span(self, span: ContactSpan, now: float) -> None:
        """Record that the store answered this entry, or another one as that reports."""
        self.tick(now)
        if span.since > span.until:
            return
        if self._silent_from is None:
            self._silent_from = span.since
        if span.until >= self._silent_from:
            self._end_silence(self._silent_from, max(span.since, self._silent_from))
            self._silent_from = self._heard_at = span.until
        self._shorten_absence(span)
        if self._since is None or span.since < self._since <= span.until:
            self._since = span.since

    def _end_silence(self, began_at: float, ended_at: float) -> None:
        """Take a time without an answer for an absence, where it is long enough."""
        if ended_at - began_at < SILENCE_S:
            return
        before = self.absence
        if before is not None and began_at - before.ended_at < STEADY_S:
            began_at = before.began_at
        self.absence = Absence(began_at, ended_at)
        self._since = ended_at

    def _shorten_absence(self, span: ContactSpan) -> None:
        """Take the end of an absence back: another entry was in contact before this one was."""
        absence = self.absence
        if absence is None or span.until < absence.ended_at - SILENCE_S:
            return
        self.absence = absence._replace(
            ended_at=max(absence.began_at, min(span.since, absence.ended_at))
        )

    def note_known(self, until: float) -> None:
        """Record that every change up to a moment has been applied."""
        self._known_until = max(self._known_until, until)

    def find_absence(self, now: float) -> Absence:
        """Return the absence in which a removal may have come that is news; empty if in none.

        Another entry's changes may come in before anything says when the store answered.
        """
        silent_from = self._silent_from if self._silent_from is not None else now
        began_at = max(silent_from, self._known_until)
        if now - began_at >= SILENCE_S:
            return Absence(began_at, now)
        if self.absence is None or self.absence.ended_at <= self._known_until:
            return Absence(self._known_until, self._known_until)
        return self.absence

    def can_tell_removals(self, now: float) -> bool:
        """Check whether others may rely on this entry to tell a removal from a lapse.

        While the process stood still the store may have been away for any time.
        """
        return now - self._stood_until >= LIFE_S

    def get_report(self, now: float) -> ContactReport | None:
        """Return what to tell other entries; None where the store was not heard."""
        if self._since is None:
            return None
        return ContactReport(now - self._since, now - self._heard_at)


def date_report(
    report: ContactReport, *, sent_at: float, held_s: float, received_at: float
) -> ContactSpan:
    """Return the time for which an entry's report proves contact.

    The time on the way only shortens it.

    Parameters
    ----------
    sent_at, received_at : float
        When the poll was sent and its answer came in.
    held_s : float
        Time for which the other entry held the poll before it answered, in seconds.
    """
    return ContactSpan(received_at - report.since_s, sent_at + held_s - report.heard_s)
