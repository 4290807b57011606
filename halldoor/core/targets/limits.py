"""Limits that targets name: the requests a second that one takes from all entries together.

Load pattern: a target in need that everybody keeps sending to.  A limit holds for as long as the
target's answers name it.  Entries notify each other, so that also those keep to it, and learn of
its end, that get no answers from the target themselves.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.placement import to_unit
from halldoor.core.targets.statement import SEPARATOR

RETURN_S = 1.0
"""Time in which a target's rate doubles after its limit ended, in seconds."""
RETURN_DOUBLINGS = 4
"""Doublings after which the rate of a target whose limit ended is no longer bounded."""
RETURN_FROM_PER_S = 1.0
"""Lowest rate from which it returns, in requests a second."""
PROBE_S = 5.0
"""Shortest time without news of a limit after which an entry sends one request to see whether it
still holds, in seconds."""
PROBE_LEAST_PER_S = 0.25
"""Rate of such requests that a target bears from all entries together, at any limit."""
PROBE_SPREAD = 0.5
"""Part by which the time to such a request differs between entries."""


class LimitNotice(NamedTuple):
    """What a target said of its limit, as another entry read it.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    started_ms : int
        Start of the target that it is about; see `TargetRecord`.
    limit_per_s : float or None
        Requests a second from all entries together; None where it named none.
    age_s : float
        Time since its answer arrived, in seconds.
    """

    target: str
    started_ms: int
    limit_per_s: float | None
    age_s: float

    @property
    def is_valid(self) -> bool:
        """Whether the figures are ones that an entry may send."""
        has_age = math.isfinite(self.age_s) and self.age_s >= 0
        return has_age and (self.limit_per_s is None or _is_limit(self.limit_per_s))


class _State(NamedTuple):
    """What is known of one target's limit.

    Attributes
    ----------
    said_at : float
        When the target's newest known answer arrived at any entry.
    ended_at : float or None
        When it no longer named the limit; None while it does.
    probe_at : float
        When this entry may send one request beyond its share.
    """

    limit_per_s: float
    said_at: float
    ended_at: float | None
    probe_at: float


class LimitTable:
    """The limits that targets name.

    Parameters
    ----------
    own_name : str
        Name of this entry, by which its probes come at other times than others'.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._states: dict[str, _State] = {}

    def add(self, target: str, limit_per_s: float | None, said_at: float, *, entries: int) -> bool:
        """Apply what a target said; False where it changes nothing but the time.

        Parameters
        ----------
        limit_per_s : float or None
            The limit that its answer named; None where it named none.
        said_at : float
            When the answer arrived; older than what is known, it is passed over.
        entries : int
            Entries that share the limit.
        """
        known = self._states.get(target)
        if known is not None and said_at < known.said_at:
            return False
        if limit_per_s is None:
            return self._end(target, known, said_at)
        is_news = known is None or known.ended_at is not None or known.limit_per_s != limit_per_s
        spread = 1.0 + PROBE_SPREAD * to_unit(f"{self._own_name}/{target}")
        probe_at = said_at + spread * _find_probe_wait(limit_per_s, entries)
        self._states[target] = _State(limit_per_s, said_at, None, probe_at)
        return is_news

    def _end(self, target: str, known: _State | None, said_at: float) -> bool:
        """Begin to let the rate of a target return."""
        if known is None or known.ended_at is not None:
            return False
        self._states[target] = known._replace(said_at=said_at, ended_at=said_at)
        return True

    def get_limit(self, target: str, now: float) -> float | None:
        """Return the requests a second that all entries may send; None where nothing bounds it."""
        state = self._states.get(target)
        if state is None:
            return None
        if state.ended_at is None:
            return state.limit_per_s
        doublings = max(0.0, now - state.ended_at) / RETURN_S
        if doublings >= RETURN_DOUBLINGS:
            del self._states[target]
            return None
        return float(max(state.limit_per_s, RETURN_FROM_PER_S) * 2**doublings)

    def may_probe(self, target: str, now: float) -> bool:
        """Whether this entry may send one request to see if the limit still holds."""
        state = self._states.get(target)
        return state is not None and state.ended_at is None and now >= state.probe_at

    def note_probe(self, target: str, now: float, *, entries: int) -> None:
        """Record that this entry sent such a request; the next one has to wait."""
        state = self._states[target]
        wait_s = _find_probe_wait(state.limit_per_s, entries)
        self._states[target] = state._replace(probe_at=now + wait_s)

    def names_limit(self, target: str) -> bool:
        """Whether a target is known to name a limit, or did until lately."""
        return target in self._states

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._states.pop(target, None)


def parse_limit(value: bytes) -> float | None:
    """Parse a limit as a target writes it, of several the lowest; None where it is none.

    Raises
    ------
    ValueError
        Where there is one that can't be read.
    """
    if not value:
        return None
    limit_per_s = min(map(float, value.split(SEPARATOR)))
    if not _is_limit(limit_per_s):
        raise ValueError(f"{limit_per_s} requests a second")
    return limit_per_s


def _find_probe_wait(limit_per_s: float, entries: int) -> float:
    """Return the least time between two probes of one entry, in seconds."""
    return max(PROBE_S, entries / max(limit_per_s, PROBE_LEAST_PER_S))


def _is_limit(limit_per_s: float) -> bool:
    """Whether a figure may be a limit."""
    return math.isfinite(limit_per_s) and limit_per_s >= 0
