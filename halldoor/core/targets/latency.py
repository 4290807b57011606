"""Observed times: round trips to halls, and the work of targets for warm and cold keys.

A target that recently served a key answers faster for it.  Targets don't report which keys are
warm or how much faster these are; the entry estimates both from the answers that it gets.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection
from typing import NamedTuple

SAMPLES = 48
"""Answers from which the work levels of a kind of request are computed: so many to known keys, and
so many to new ones."""
LEVELS_EVERY = 8
"""Answers between two computations of the levels, once `SAMPLES` of them are there."""
WARM_QUANTILE = 0.25
"""Quantile of the work for known keys that is taken as warm: some keys are cold again."""
COLD_QUANTILE = 0.9
"""Quantile of the work for new keys that is taken as cold: other entries may have warmed most."""
MEAN_WEIGHT = 0.03
"""Weight of the newest answer in the mean work: about the last thirty count."""
TRAVEL_WEIGHT = 0.1
"""Weight of a connect time longer than the average; a shorter one replaces the average at once."""
WORK_PRIOR_S = 0.1
"""Work assumed for a kind of request before its first answer, in seconds."""
KINDS_KEPT = 4_096
"""Kinds of request whose work is remembered, the first ones of the process."""
KEY_PAIRS_KEPT = 20_000
"""Pairs of target and key that are remembered; about 3 MB."""


class WorkLevels(NamedTuple):
    """Work times of a target for one kind of request, in seconds.

    Attributes
    ----------
    warm_s, cold_s : float
        Work for a key that is warm or cold at the target, in seconds.
    mean_s : float
        Mean over all requests, in seconds: the time for which a request occupies a slot.
    is_known : bool
        Whether the times were observed; otherwise they are assumed.
    """

    warm_s: float
    cold_s: float
    mean_s: float
    is_known: bool = True


_UNKNOWN = WorkLevels(WORK_PRIOR_S, WORK_PRIOR_S, WORK_PRIOR_S, is_known=False)


class _Samples:
    """Work times of the last answers to one kind of request, and the levels computed from them."""

    def __init__(self) -> None:
        self._known: deque[float] = deque(maxlen=SAMPLES)
        self._new: deque[float] = deque(maxlen=SAMPLES)
        self._count = 0
        self.levels = _UNKNOWN

    def add(self, work_s: float, *, is_known_key: bool) -> None:
        """Add the work time of an answer that did not wait for a slot."""
        (self._known if is_known_key else self._new).append(work_s)
        mean_s = self.levels.mean_s if self._count else work_s
        mean_s += MEAN_WEIGHT * (work_s - mean_s)
        self.levels = self.levels._replace(mean_s=mean_s)
        self._count += 1
        if self._count <= SAMPLES or self._count % LEVELS_EVERY == 0:
            self._compute_levels()

    def _compute_levels(self) -> None:
        """Compute the levels from the samples."""
        warm_s = _find_quantile(self._known or self._new, WARM_QUANTILE)
        cold_s = _find_quantile(self._new, COLD_QUANTILE) if self._new else warm_s
        self.levels = WorkLevels(warm_s, max(warm_s, cold_s), self.levels.mean_s)


class LatencyModel:
    """Round-trip times by hall, work by kind of request, and the targets that served each key.

    A kind of request is named by its service and route.
    """

    def __init__(self) -> None:
        self._travel_s: dict[str, float] = {}
        self._shortest_s: dict[str, float] = {}
        self._samples: dict[str, _Samples] = {}
        self._pairs: OrderedDict[tuple[str, str], None] = OrderedDict()

    def add_connect(self, hall: str, took_s: float) -> None:
        """Record the time to open a connection to a hall, which is one round trip, in seconds."""
        known_s = self._travel_s.get(hall, took_s)
        weight = TRAVEL_WEIGHT if took_s > known_s else 1.0
        self._travel_s[hall] = known_s + weight * (took_s - known_s)
        self._shortest_s[hall] = min(took_s, self._shortest_s.get(hall, took_s))

    def get_travel(self, hall: str) -> float:
        """Return the average round trip to a hall, in seconds; 0 if unknown."""
        return self._travel_s.get(hall, 0.0)

    def get_shortest_travel(self, hall: str) -> float:
        """Return the shortest round trip to a hall so far, in seconds; 0 if unknown.

        Lost packets and a busy process never raise it, so that it shows the hall's distance.
        """
        return self._shortest_s.get(hall, 0.0)

    def list_measured_halls(self) -> Collection[str]:
        """Return the halls to which a connection was opened."""
        return self._shortest_s.keys()

    def add_answer(
        self,
        kind: str,
        target: str,
        hall: str,
        key: str,
        *,
        took_s: float,
        has_waited: bool,
        slowness: float = 1.0,
    ) -> None:
        """Record a successful answer.

        Parameters
        ----------
        took_s : float
            Time from sending to the whole answer on an open connection, in seconds.
        has_waited : bool
            Whether the target was full when it was chosen, so that the time includes a wait and is
            not used as a work time.
        slowness : float, optional
            How long work took there at the moment, in multiples of its usual time.
        """
        is_known = self.has_answered(target, key)
        if not has_waited and (kind in self._samples or len(self._samples) < KINDS_KEPT):
            work_s = max(0.0, took_s - self.get_travel(hall)) / slowness
            self._samples.setdefault(kind, _Samples()).add(work_s, is_known_key=is_known)
        if key:
            self._pairs[(target, key)] = None
            self._pairs.move_to_end((target, key))
            if len(self._pairs) > KEY_PAIRS_KEPT:
                self._pairs.popitem(last=False)

    def forget(self, target: str) -> None:
        """Drop the record of a target's keys, after it was removed or lost its warm state."""
        for pair in [pair for pair in self._pairs if pair[0] == target]:
            del self._pairs[pair]

    def has_answered(self, target: str, key: str) -> bool:
        """Check whether this entry recorded an answer of a target to a key."""
        return (target, key) in self._pairs

    def get_levels(self, kind: str) -> WorkLevels:
        """Return the work levels of a kind of request; assumed ones before its first answer."""
        samples = self._samples.get(kind)
        return _UNKNOWN if samples is None else samples.levels


def _find_quantile(samples: deque[float], quantile: float) -> float:
    """Return a quantile of some samples."""
    return sorted(samples)[int(quantile * len(samples))]
