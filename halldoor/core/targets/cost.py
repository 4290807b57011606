"""What a target would cost a request: the time to its answer, by its parts."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.targets.latency import LatencyModel, WorkLevels
from halldoor.core.targets.target import Target

EVENNESS = 0.25
"""What a target's load counts for requests without a key, in multiples of their work.

Between targets that all have a free slot, it lets the emptier one win.
"""
ASSUMED_COLD_FACTOR = 1.5
"""Least factor of cold over warm work that is assumed of a route whose operators ask for affinity.

An entry of a large fleet meets a key once in a minute or less often, so that it can't tell warm
from cold by its own answers: other entries have warmed most keys that are new to it.  Without the
assumption a wait of one request's turn sends a key to its second target, which pays a cold start.
"""
JUST_STARTED_FACTOR = 2.0
"""Times that a target which just started takes for cold work, while its start lasts."""


class Estimate(NamedTuple):
    """What is expected of a target for one request.

    Attributes
    ----------
    on_target : float
        Requests on the target.
    travel_s, wait_s, work_s : float
        Time on the way, waiting for a slot, and in work, in seconds.
    evenness_s : float
        What is added where targets are compared, in seconds; not part of the time.
    """

    on_target: float
    travel_s: float
    wait_s: float
    work_s: float
    evenness_s: float

    @property
    def time_s(self) -> float:
        """Time to the answer, in seconds."""
        return self.travel_s + self.wait_s + self.work_s

    @property
    def cost_s(self) -> float:
        """What targets are compared by, in seconds."""
        return self.time_s + self.evenness_s

    def find_cost(self, *, least_travel_s: float) -> float:
        """Return the cost with at least so much travelling, in seconds.

        A key's second target must not win by being nearer than the first: each entry would take
        the one near it, and both would pay the key's cold start.
        """
        return self.cost_s + max(0.0, least_travel_s - self.travel_s)


class CostModel:
    """Estimates from observed times.

    Parameters
    ----------
    latency : LatencyModel
        How long targets take.
    """

    def __init__(self, latency: LatencyModel) -> None:
        self._latency = latency

    def get_levels(self, kind: str) -> WorkLevels:
        """Return the work of a kind of request."""
        return self._latency.get_levels(kind)

    def estimate(
        self,
        target: Target,
        key: str,
        levels: WorkLevels,
        *,
        on_target: float,
        place: int,
        now: float,
    ) -> Estimate:
        """Estimate what a target would cost.

        Parameters
        ----------
        on_target : float
            Requests on the target.
        place : int
            Place of the target in the key's order, from 0; targets not worth trying don't count.
        """
        slots = max(1, target.record.slots)
        wait_s = max(0.0, on_target - slots + 1) * levels.mean_s / slots
        work_s = self._expect_work(target, key, levels, place, now)
        evenness_s = 0.0 if key else EVENNESS * min(1.0, on_target / slots) * levels.mean_s
        return Estimate(
            on_target, self._latency.get_travel(target.record.hall), wait_s, work_s, evenness_s
        )

    def _expect_work(
        self, target: Target, key: str, levels: WorkLevels, place: int, now: float
    ) -> float:
        """Expect a key's first target to be warm, others only where this entry sent the key."""
        if target.is_cold(now):
            return JUST_STARTED_FACTOR * levels.cold_s
        if not key:
            return levels.mean_s
        is_warm = place == 0 or self._latency.has_sent(target.name, key)
        if is_warm:
            return levels.warm_s
        assumed_s = ASSUMED_COLD_FACTOR * levels.warm_s if levels.is_known else 0.0
        return max(levels.cold_s, assumed_s)
