"""What an entry observed of time: travelling to halls, and work at targets, warm and cold.

A target that lately saw a key answers faster for it.  Nobody tells which keys are warm where,
nor how much that is worth; both are learnt from the entry's own answers.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection
from typing import NamedTuple

SAMPLES = 48
"""Answers that the levels of a service's work are taken from, of each sort."""
RENEWAL_SAMPLES = 8
"""Answers between two computations of the levels, once `SAMPLES` of them are there."""
WARM_QUANTILE = 0.25
"""Quantile of answers to known keys that counts as warm: some of them are cold again."""
COLD_QUANTILE = 0.9
"""Quantile of answers to new keys that counts as cold: others may have warmed most of them."""
MEAN_WEIGHT = 0.03
"""Weight of the newest answer in a service's mean work: about the last thirty count."""
TRAVEL_WEIGHT = 0.1
"""Weight of a longer connect time than known; a shorter one counts at once."""
WORK_PRIOR_S = 0.1
"""Work assumed of a service before its first answer, in seconds."""
PAIRS_KEPT = 20_000
"""Pairs of target and key that are remembered; about 3 MB."""


class WorkLevels(NamedTuple):
    """Time that a target works on a request of one kind, in seconds.

    Attributes
    ----------
    warm_s, cold_s : float
        With and without the key's object at hand.
    mean_s : float
        Over all requests, which is how long each occupies a slot.
    is_known : bool
        They were observed; else they are a guess.
    """

    warm_s: float
    cold_s: float
    mean_s: float
    is_known: bool = True


_UNKNOWN = WorkLevels(WORK_PRIOR_S, WORK_PRIOR_S, WORK_PRIOR_S, is_known=False)


class _Samples:
    """Answers of one kind of request, and the levels that follow."""

    def __init__(self) -> None:
        self._known: deque[float] = deque(maxlen=SAMPLES)
        self._new: deque[float] = deque(maxlen=SAMPLES)
        self._count = 0
        self.levels = _UNKNOWN

    def add(self, work_s: float, *, is_known_key: bool) -> None:
        """Add an answer that did not wait for a slot."""
        (self._known if is_known_key else self._new).append(work_s)
        mean_s = self.levels.mean_s if self._count else work_s
        mean_s += MEAN_WEIGHT * (work_s - mean_s)
        self.levels = self.levels._replace(mean_s=mean_s)
        self._count += 1
        if self._count <= SAMPLES or self._count % RENEWAL_SAMPLES == 0:
            self._compute_levels()

    def _compute_levels(self) -> None:
        """Compute the levels from the samples."""
        warm_s = _find_quantile(self._known or self._new, WARM_QUANTILE)
        cold_s = _find_quantile(self._new, COLD_QUANTILE) if self._new else warm_s
        self.levels = WorkLevels(warm_s, max(warm_s, cold_s), self.levels.mean_s)


class LatencyModel:
    """Travelling times by hall, work by kind of request, and where keys are warm.

    A kind of request is named by its service and route.
    """

    def __init__(self) -> None:
        self._travel_s: dict[str, float] = {}
        self._shortest_s: dict[str, float] = {}
        self._samples: dict[str, _Samples] = {}
        self._pairs: OrderedDict[tuple[str, str], None] = OrderedDict()

    def add_connect(self, hall: str, took_s: float) -> None:
        """Take the time of a new connection: one round trip."""
        known_s = self._travel_s.get(hall, took_s)
        weight = TRAVEL_WEIGHT if took_s > known_s else 1.0
        self._travel_s[hall] = known_s + weight * (took_s - known_s)
        self._shortest_s[hall] = min(took_s, self._shortest_s.get(hall, took_s))

    def get_travel(self, hall: str) -> float:
        """Return the time of a round trip to a hall, in seconds; 0 where it is not known."""
        return self._travel_s.get(hall, 0.0)

    def get_shortest_travel(self, hall: str) -> float:
        """Return the shortest round trip to a hall so far, in seconds; 0 where none is known.

        Lost packets and a busy process never raise it, so that it says how far the hall is.
        """
        return self._shortest_s.get(hall, 0.0)

    def list_measured_halls(self) -> Collection[str]:
        """List the halls to which a connection was opened."""
        return self._shortest_s.keys()

    def add_answer(
        self, kind: str, target: str, hall: str, key: str, *, took_s: float, has_waited: bool
    ) -> None:
        """Take a sound answer.

        Parameters
        ----------
        took_s : float
            Time from sending to the whole answer, in seconds, on a connection that was there.
        has_waited : bool
            The target was full when it was chosen, so that the time says little of the work.
        """
        is_known = self.has_sent(target, key)
        if not has_waited:
            work_s = max(0.0, took_s - self.get_travel(hall))
            self._samples.setdefault(kind, _Samples()).add(work_s, is_known_key=is_known)
        if key:
            self._pairs[(target, key)] = None
            self._pairs.move_to_end((target, key))
            if len(self._pairs) > PAIRS_KEPT:
                self._pairs.popitem(last=False)

    def forget(self, target: str) -> None:
        """Drop what a target had of keys: it is gone, or knows nothing any more."""
        for pair in [pair for pair in self._pairs if pair[0] == target]:
            del self._pairs[pair]

    def has_sent(self, target: str, key: str) -> bool:
        """Check whether this entry had an answer for a key from a target."""
        return (target, key) in self._pairs

    def get_levels(self, kind: str) -> WorkLevels:
        """Return the work of a kind of request; a guess before its first answer."""
        samples = self._samples.get(kind)
        return _UNKNOWN if samples is None else samples.levels


def _find_quantile(samples: deque[float], quantile: float) -> float:
    """Find a quantile of some samples."""
    return sorted(samples)[int(quantile * len(samples))]
