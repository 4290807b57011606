"""Estimates of a target's cost for a request: travel, wait for a slot, and work."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.targets.latency import LatencyModel, WorkLevels
from halldoor.core.targets.target import Target

EVENNESS_WEIGHT = 0.25
"""Weight of a target's load in the cost of requests without a key, in multiples of their work.

Of several targets that have a free slot, the one with the lower load is chosen.
"""
ASSUMED_COLD_FACTOR = 1.5
"""Least ratio of cold to warm work that is assumed for requests with an affinity key.

An entry of a large fleet gets a key once a minute or less often, so it can't distinguish warm from
cold work by its own answers: other entries have warmed most keys that are new to it.  Without this
assumption, a wait for one slot would send a key to its second target, which is cold for it.
"""
JUST_STARTED_FACTOR = 2.0
"""Work of a target in its cold start, in multiples of cold work."""


class Estimate(NamedTuple):
    """The expected cost of one request at a target.

    Attributes
    ----------
    on_target : float
        Requests on the target from all entries.
    travel_s, wait_s, work_s : float
        Round trip, wait for a slot, and work, in seconds.
    evenness_s : float
        Addition for the target's load when targets are compared, in seconds; no actual time.
    """

    on_target: float
    travel_s: float
    wait_s: float
    work_s: float
    evenness_s: float

    @property
    def time_s(self) -> float:
        """Expected time to the answer, in seconds."""
        return self.travel_s + self.wait_s + self.work_s

    @property
    def cost_s(self) -> float:
        """Cost by which targets are compared, in seconds."""
        return self.time_s + self.evenness_s

    def find_cost(self, *, least_travel_s: float) -> float:
        """Return the cost with a travel time of at least `least_travel_s`, in seconds.

        A key's second target must not win because it is nearer than the first: each entry would
        choose the one near it, and both targets would have to warm up for the key.
        """
        return self.cost_s + max(0.0, least_travel_s - self.travel_s)


class CostModel:
    """Estimates the cost of targets from observed times.

    Parameters
    ----------
    latency : LatencyModel
        Observed travel and work times.
    """

    def __init__(self, latency: LatencyModel) -> None:
        self._latency = latency

    def get_levels(self, kind: str) -> WorkLevels:
        """Return the warm, cold and mean work times of a kind of request."""
        return self._latency.get_levels(kind)

    def estimate(
        self,
        target: Target,
        key: str,
        levels: WorkLevels,
        *,
        on_target: float,
        position: int,
        now: float,
        slowness: float = 1.0,
    ) -> Estimate:
        """Estimate the cost of a request at a target.

        Parameters
        ----------
        on_target : float
            Requests on the target from all entries.
        position : int
            Position of the target in the key's order, from 0, not counting targets passed over.
        slowness : float, optional
            How long work takes there at the moment, in multiples of its usual time.
        """
        slots = max(1, target.record.slots)
        wait_s = max(0.0, on_target - slots + 1) * levels.mean_s / slots * slowness
        work_s = self._estimate_work(target, key, levels, position, now) * slowness
        evenness_s = 0.0 if key else EVENNESS_WEIGHT * min(1.0, on_target / slots) * levels.mean_s
        return Estimate(
            on_target, self._latency.get_travel(target.record.hall), wait_s, work_s, evenness_s
        )

    def _estimate_work(
        self, target: Target, key: str, levels: WorkLevels, position: int, now: float
    ) -> float:
        """Return the expected work time, in seconds.

        A key's first target is expected to be warm, others only if this entry sent them the key.
        """
        if target.is_cold(now):
            return JUST_STARTED_FACTOR * levels.cold_s
        if not key:
            return levels.mean_s
        is_warm = position == 0 or self._latency.has_answered(target.name, key)
        if is_warm:
            return levels.warm_s
        assumed_s = ASSUMED_COLD_FACTOR * levels.warm_s if levels.is_known else 0.0
        return max(levels.cold_s, assumed_s)
