"""Back-offs that targets request from this entry, and the ramp-up of requests after one.

Load pattern: targets that refuse requests at once, and therefore look idle.  A back-off concerns
one target and one entry; entries don't notify each other of it, since others may be served.
After it, this entry's requests in flight to the target ramp up from one, since callers that were
refused meanwhile all retry.
"""

from __future__ import annotations

from collections.abc import Collection
from email.utils import parsedate_to_datetime
from typing import NamedTuple

from halldoor.core.decoding import DecodingError, decoding, parse_float
from halldoor.core.targets.statement import SEPARATOR, SHOWN

StartKey = tuple[str, int]
"""Key of one start of a target: its incarnation and its start time in Unix milliseconds."""

BACKOFF_MAX_S = 3600.0
"""Longest back-off that is observed, in seconds."""
PARSED_MAX_S = 1e15
"""Longest back-off that is read, in seconds; a longer one is ignored."""
PROBE_INTERVAL_S = 30.0
"""Time within a back-off between two requests that probe whether the target serves again, in
seconds; a back-off that long may have been requested by mistake."""
PROBE_COUNT = 2
"""Probes in a back-off.  It ends early if all of them are answered successfully."""
RAMP_STEP_S = 1.0
"""Time after a back-off in which the allowed requests in flight double, in seconds."""
RAMP_DOUBLINGS = 3
"""Doublings after which the requests in flight are no longer bounded."""


class _Backoff(NamedTuple):
    """A back-off, and the ramp-up after it.

    Attributes
    ----------
    until : float
        Time at which the back-off ends.
    look_at, looks_left : float, int
        Time from which this entry may send the next probe, and the number of probes left.
    sound_looks : int
        Probes that were answered successfully.
    is_proven : bool
        Whether a request after the back-off was answered successfully.
    """

    until: float
    look_at: float
    looks_left: int = PROBE_COUNT
    sound_looks: int = 0
    is_proven: bool = False


class BackoffTable:
    """The back-offs that targets requested from this entry."""

    def __init__(self) -> None:
        self._backoffs: dict[StartKey, _Backoff] = {}

    def __bool__(self) -> bool:
        """Check whether any target is in a back-off, or in the ramp-up after one."""
        return bool(self._backoffs)

    def add(self, start: StartKey, backoff_s: float, now: float) -> bool:
        """Apply a back-off that a target requested; False if one was in force already.

        Of overlapping back-offs the longer one counts, and they share their probes.
        """
        known = self._backoffs.get(start)
        until = now + min(backoff_s, BACKOFF_MAX_S)
        if known is not None and now < known.until:
            self._backoffs[start] = known._replace(until=max(until, known.until), sound_looks=0)
            return False
        self._drop_finished(now)
        self._backoffs[start] = _Backoff(until, now + PROBE_INTERVAL_S)
        return True

    def add_success(self, start: StartKey, now: float) -> None:
        """Record a target's successful answer, which may end its back-off or prove its recovery."""
        backoff = self._backoffs.get(start)
        if backoff is None:
            return
        if now >= backoff.until:
            self._backoffs[start] = backoff._replace(is_proven=True)
        elif backoff.looks_left < PROBE_COUNT:
            sound_looks = backoff.sound_looks + 1
            until = now if sound_looks >= PROBE_COUNT else backoff.until
            self._backoffs[start] = backoff._replace(sound_looks=sound_looks, until=until)

    def can_send(self, start: StartKey, now: float, *, in_flight: int) -> bool:
        """Check whether this entry may send a target a request now.

        Parameters
        ----------
        in_flight : int
            Requests of this entry in flight on the target.
        """
        backoff = self._backoffs.get(start)
        if backoff is None:
            return True
        if now < backoff.until:
            return backoff.looks_left > 0 and now >= backoff.look_at
        doublings = (now - backoff.until) / RAMP_STEP_S
        if backoff.is_proven and doublings >= RAMP_DOUBLINGS:
            del self._backoffs[start]
            return True
        return in_flight < (int(2**doublings) if backoff.is_proven else 1)

    def record_sent(self, start: StartKey, now: float) -> None:
        """Record that a request was sent, which counts as a probe during a back-off."""
        backoff = self._backoffs.get(start)
        if backoff is not None and now < backoff.until:
            self._backoffs[start] = backoff._replace(
                looks_left=backoff.looks_left - 1, look_at=now + PROBE_INTERVAL_S
            )

    def find_wait(self, start: StartKey, now: float) -> float:
        """Return the time left of a target's back-off, in seconds; 0 without one."""
        backoff = self._backoffs.get(start)
        return max(0.0, backoff.until - now) if backoff is not None else 0.0

    def list_backed_off(self, now: float) -> Collection[str]:
        """Return the incarnations of the targets that are in a back-off."""
        return {name for (name, _), backoff in self._backoffs.items() if now < backoff.until}

    def _drop_finished(self, now: float) -> None:
        """Drop back-offs whose ramp-up is over."""
        span_s = RAMP_STEP_S * RAMP_DOUBLINGS
        self._backoffs = {s: r for s, r in self._backoffs.items() if now < r.until + span_s}


def parse_backoff(value: bytes, wall_s: float) -> float:
    """Parse the back-off that a target requests, in seconds; the longest one of several.

    Parameters
    ----------
    value : bytes
        Seconds, fractions included, or a date; several are joined by `SEPARATOR`.
    wall_s : float
        Current Unix time in seconds, to which a date is compared.

    Raises
    ------
    DecodingError
        If a value is neither a date nor a finite number from 0.
    """
    texts = value.decode("latin-1").split(SEPARATOR.decode())
    return max(_parse_one(text, wall_s) for text in texts)


def _parse_one(text: str, wall_s: float) -> float:
    """Parse one back-off, in seconds."""
    try:
        return parse_float(text, lowest=0.0, highest=PARSED_MAX_S, origin="back-off")
    except DecodingError:
        with decoding(f"back-off {text[:SHOWN]!r}"):
            return max(0.0, parsedate_to_datetime(text).timestamp() - wall_s)
