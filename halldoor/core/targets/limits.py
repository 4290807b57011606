"""Limits that targets state: the requests a second that one accepts from all entries together.

Load pattern: an overloaded target to which all entries keep sending.  A limit is in force as long
as the target's answers state it.  Entries notify each other of limits and of their ends, so that
entries without answers from the target observe them, too.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.bounds import Rate, SignedSeconds, UnixMs
from halldoor.core.decoding import parse_float
from halldoor.core.placement import hash_to_unit
from halldoor.core.targets.statement import SEPARATOR

RAMP_STEP_S = 1.0
"""Time in which a target's allowed rate doubles after its limit ended, in seconds."""
RAMP_DOUBLINGS = 4
"""Doublings after the end of a limit until the target's rate is no longer bounded."""
RAMP_START_PER_S = 1.0
"""Lowest rate at which the ramp-up after a limit starts, in requests a second."""
PROBE_S = 5.0
"""Shortest time without a statement of a limit after which an entry sends a probe, a request beyond
its share that shows whether the limit is still in force, in seconds."""
PROBE_MIN_PER_S = 0.25
"""Probes a second that a target can handle from all entries together, however low its limit."""
MAX_LIMIT_PER_S = 1e9
"""Greatest limit that is read from an answer."""
PROBE_SPREAD = 0.5
"""Largest part by which an entry's time to its first probe is prolonged, to spread the probes."""


class LimitNotice(NamedTuple):
    """A target's statement on its limit, as another entry received it.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    started_ms : int
        Start of the target that the statement is about; see `TargetRecord`.
    limit_per_s : float or None
        Requests a second from all entries together; None if the target stated no limit.
    age_s : float
        Time since the target's answer arrived, in seconds.
    """

    target: str
    started_ms: UnixMs
    limit_per_s: Rate | None
    age_s: SignedSeconds

    @property
    def is_valid(self) -> bool:
        """Whether limit and age are in their ranges."""
        has_age = math.isfinite(self.age_s) and self.age_s >= 0
        return has_age and (self.limit_per_s is None or _is_limit(self.limit_per_s))


class _LimitState(NamedTuple):
    """One target's limit, or the ramp-up after it.

    Attributes
    ----------
    said_at : float
        Time at which the target's newest known answer arrived at any entry.
    ended_at : float or None
        Time of the first answer without the limit; None while the limit is in force.
    probe_at : float
        Time from which this entry may send one request beyond its share.
    """

    limit_per_s: float
    said_at: float
    ended_at: float | None
    probe_at: float


class LimitTable:
    """The limits that targets state.

    Parameters
    ----------
    own_name : str
        Name of this entry, so that its probes differ in time from those of other entries.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._states: dict[str, _LimitState] = {}

    def add(
        self, target: str, limit_per_s: float | None, answered_at: float, *, entries: int
    ) -> bool:
        """Apply a target's statement; return whether it changed the limit.

        Parameters
        ----------
        limit_per_s : float or None
            The limit that its answer stated; None if it stated none.
        answered_at : float
            Time at which the answer arrived; one older than the newest known answer is ignored.
        entries : int
            Entries that share the limit.
        """
        known = self._states.get(target)
        if known is not None and answered_at < known.said_at:
            return False
        if limit_per_s is None:
            return self._start_ramp(target, known, answered_at)
        is_changed = known is None or known.ended_at is not None or known.limit_per_s != limit_per_s
        spread = 1.0 + PROBE_SPREAD * hash_to_unit(f"{self._own_name}/{target}")
        probe_at = answered_at + spread * _find_probe_wait(limit_per_s, entries)
        self._states[target] = _LimitState(limit_per_s, answered_at, None, probe_at)
        return is_changed

    def _start_ramp(self, target: str, known: _LimitState | None, answered_at: float) -> bool:
        """Start the ramp-up of a target's rate; False if there was no limit in force."""
        if known is None or known.ended_at is not None:
            return False
        self._states[target] = known._replace(said_at=answered_at, ended_at=answered_at)
        return True

    def get_limit(self, target: str, now: float) -> float | None:
        """Return the requests a second that all entries may send together; None if unbounded."""
        state = self._states.get(target)
        if state is None:
            return None
        if state.ended_at is None:
            return state.limit_per_s
        doublings = max(0.0, now - state.ended_at) / RAMP_STEP_S
        if doublings >= RAMP_DOUBLINGS:
            del self._states[target]
            return None
        return float(max(state.limit_per_s, RAMP_START_PER_S) * 2**doublings)

    def can_probe(self, target: str, now: float) -> bool:
        """Check whether this entry may send a request that probes if the limit is in force."""
        state = self._states.get(target)
        return state is not None and state.ended_at is None and now >= state.probe_at

    def record_probe(self, target: str, now: float, *, entries: int) -> None:
        """Record that this entry sent a probe, and set the time of the next one."""
        state = self._states[target]
        wait_s = _find_probe_wait(state.limit_per_s, entries)
        self._states[target] = state._replace(probe_at=now + wait_s)

    def has_limit(self, target: str) -> bool:
        """Check whether a target has a limit, or is in the ramp-up after one."""
        return target in self._states

    def forget(self, target: str) -> None:
        """Drop the limit of a target that was removed."""
        self._states.pop(target, None)


def parse_limit(value: bytes) -> float | None:
    """Parse the limit that a target states, the lowest one of several; None if there is none.

    Raises
    ------
    DecodingError
        If a value is not a number from 0 to `MAX_LIMIT_PER_S`.
    """
    if not value:
        return None
    return min(
        parse_float(text, lowest=0.0, highest=MAX_LIMIT_PER_S, origin="limit")
        for text in value.split(SEPARATOR)
    )


def _find_probe_wait(limit_per_s: float, entries: int) -> float:
    """Return the shortest time between two probes of one entry, in seconds."""
    return max(PROBE_S, entries / max(limit_per_s, PROBE_MIN_PER_S))


def _is_limit(limit_per_s: float) -> bool:
    """Check whether a number is a valid limit."""
    return math.isfinite(limit_per_s) and limit_per_s >= 0
