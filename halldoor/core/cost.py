"""What a target would cost a request: the time to its answer, and what that costs others."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.catalog import Target
from halldoor.core.latency import LatencyModel, WorkLevels
from halldoor.core.load import LoadTable

PRESSURE_LIMIT = 0.95
"""Highest pressure that the price of a cold start reckons with; it would grow without bound."""
KNOWN_KEY_SHARE = 0.25
"""Part of that price for a target that had the key from this entry: it may have forgotten it."""
EVENNESS = 0.25
"""Price of a target for requests without a key, in multiples of its load and their work.

Between targets that all have a free slot, it lets the emptier one win.
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
    price_s : float
        What the request would cost others, in seconds.
    """

    on_target: float
    travel_s: float
    wait_s: float
    work_s: float
    price_s: float

    @property
    def time_s(self) -> float:
        """Time to the answer, in seconds."""
        return self.travel_s + self.wait_s + self.work_s

    @property
    def cost_s(self) -> float:
        """What targets are compared by, in seconds."""
        return self.time_s + self.price_s


class CostModel:
    """Estimates from reported loads and observed times.

    Parameters
    ----------
    loads : LoadTable
        What targets reported.
    latency : LatencyModel
        How long they take.
    """

    def __init__(self, loads: LoadTable, latency: LatencyModel) -> None:
        self._loads = loads
        self._latency = latency

    def get_levels(self, kind: str) -> WorkLevels:
        """Give the work of a kind of request."""
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
        spill_price: float,
    ) -> Estimate:
        """Estimate what a target would cost.

        Parameters
        ----------
        on_target : float
            Requests on the target.
        place : int
            Place of the target in the key's order, from 0.
        spill_price : float
            Weight of what a cold start costs others.
        """
        slots = max(1, target.record.slots)
        wait_s = max(0.0, on_target - slots + 1) * levels.mean_s / slots
        work_s = self._expect_work(target, key, levels, place, now)
        if key and place:
            price_s = spill_price * self._price_cold_start(target, key, levels)
        else:
            price_s = 0.0 if key else EVENNESS * min(1.0, on_target / slots) * levels.mean_s
        return Estimate(
            on_target, self._latency.get_travel(target.record.hall), wait_s, work_s, price_s
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
        return levels.warm_s if is_warm else levels.cold_s

    def _price_cold_start(self, target: Target, key: str, levels: WorkLevels) -> float:
        """Price a cold start: its extra work, by how much others wait for the slot."""
        pressure = min(PRESSURE_LIMIT, self._loads.get_pressure(target.name))
        price_s = levels.gap_s * pressure / (1.0 - pressure)
        return KNOWN_KEY_SHARE * price_s if self._latency.has_sent(target.name, key) else price_s
