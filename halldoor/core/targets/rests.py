"""Rests that targets ask this entry for, and the return to a target after one.

Load pattern: targets that turn requests away at once, and therefore look idle.  A rest is between
one target and one entry, so that entries don't notify each other of it: others may be served.
After it the requests of this entry in flight grow from one, since those that were refused meanwhile
come back together.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from email.utils import parsedate_to_datetime
from typing import NamedTuple

from halldoor.core.targets.statement import SEPARATOR

Start = tuple[str, int]
"""A start of a target: its incarnation, and when it started in Unix milliseconds."""

REST_MOST_S = 3600.0
"""Longest rest that is kept, in seconds."""
LOOK_S = 30.0
"""Time in a rest after which a request looks whether the target serves again, in seconds; a rest
that long may have been asked for by mistake."""
LOOKS = 2
"""Such requests in a rest.  It ends early where all of them are answered soundly."""
RETURN_S = 1.0
"""Time after a rest in which the requests in flight that are allowed double, in seconds."""
RETURN_DOUBLINGS = 3
"""Doublings after which they are no longer bounded."""


class _Rest(NamedTuple):
    """A rest, and the return after it.

    Attributes
    ----------
    until : float
        When it ends.
    look_at, looks_left : float, int
        When this entry may look whether it still holds, and how often.
    sound_looks : int
        Looks that were answered soundly.
    is_proven : bool
        A request after it was answered soundly.
    """

    until: float
    look_at: float
    looks_left: int = LOOKS
    sound_looks: int = 0
    is_proven: bool = False


class RestTable:
    """The rests that targets asked this entry for."""

    def __init__(self) -> None:
        self._rests: dict[Start, _Rest] = {}

    def __bool__(self) -> bool:
        """Whether any target rests, or returns from a rest."""
        return bool(self._rests)

    def add(self, start: Start, rest_s: float, now: float) -> bool:
        """Apply a rest that a target asked for; False where one held already.

        Of rests that overlap the longer one holds, and all share their looks.
        """
        known = self._rests.get(start)
        until = now + min(rest_s, REST_MOST_S)
        if known is not None and now < known.until:
            self._rests[start] = known._replace(until=max(until, known.until), sound_looks=0)
            return False
        self._drop_returned(now)
        self._rests[start] = _Rest(until, now + LOOK_S)
        return True

    def add_sound(self, start: Start, now: float) -> None:
        """Apply a sound answer of a target."""
        rest = self._rests.get(start)
        if rest is None:
            return
        if now >= rest.until:
            self._rests[start] = rest._replace(is_proven=True)
        elif rest.looks_left < LOOKS:
            sound_looks = rest.sound_looks + 1
            until = now if sound_looks >= LOOKS else rest.until
            self._rests[start] = rest._replace(sound_looks=sound_looks, until=until)

    def may_send(self, start: Start, now: float, *, in_flight: int) -> bool:
        """Whether this entry may send a target a request now.

        Parameters
        ----------
        in_flight : int
            Requests of this entry that the target has.
        """
        rest = self._rests.get(start)
        if rest is None:
            return True
        if now < rest.until:
            return rest.looks_left > 0 and now >= rest.look_at
        doublings = (now - rest.until) / RETURN_S
        if rest.is_proven and doublings >= RETURN_DOUBLINGS:
            del self._rests[start]
            return True
        return in_flight < (int(2**doublings) if rest.is_proven else 1)

    def note_sent(self, start: Start, now: float) -> None:
        """Record that a request was sent, which in a rest is one of the looks."""
        rest = self._rests.get(start)
        if rest is not None and now < rest.until:
            self._rests[start] = rest._replace(looks_left=rest.looks_left - 1, look_at=now + LOOK_S)

    def find_wait(self, start: Start, now: float) -> float:
        """Return how much longer a target rests, in seconds; 0 where it does not."""
        rest = self._rests.get(start)
        return max(0.0, rest.until - now) if rest is not None else 0.0

    def list_resting(self, now: float) -> Collection[str]:
        """Return the incarnations of the targets that rest."""
        return {name for (name, _), rest in self._rests.items() if now < rest.until}

    def _drop_returned(self, now: float) -> None:
        """Drop rests that ended so long ago that nothing follows from them."""
        span_s = RETURN_S * RETURN_DOUBLINGS
        self._rests = {s: r for s, r in self._rests.items() if now < r.until + span_s}


def parse_rest(value: bytes, wall_s: float) -> float:
    """Parse the rest that a target asks for, in seconds; of several the longest.

    Parameters
    ----------
    value : bytes
        Seconds, fractions included, or a date; several are joined by `SEPARATOR`.
    wall_s : float
        The time of day, in Unix seconds, for a date.

    Raises
    ------
    ValueError
        Where it can't be read.
    """
    texts = value.decode("latin-1").split(SEPARATOR.decode())
    return max(_parse_one(text, wall_s) for text in texts)


def _parse_one(text: str, wall_s: float) -> float:
    """Parse one rest."""
    try:
        seconds = float(text)
    except ValueError:
        return max(0.0, parsedate_to_datetime(text).timestamp() - wall_s)
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError(f"{seconds} s of rest")
    return seconds
