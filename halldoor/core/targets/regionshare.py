"""The share of a region's keys whose first target is in the region, and how fast it may change.

Load pattern: a region whose targets all come back together, or a configuration that changes the
load expected of them.  Keys that change their region load targets for which they are cold, and the
links between regions, so that operators bound how many may move at a time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.targets.regionflow import WINDOW_S
from halldoor.core.targets.route import Route

SHARE_STEP = 0.05
"""Step in which the target value of the share is rounded."""
SHIFT_PART = 1 / 3
"""Part of the bound on moves that is used.  Random variation between windows of 250 requests moves
about as much."""
BUCKETS = 100
"""Number of equal parts of the key space in which requests are counted: with some tens of keys, a
part contains about one key."""
MEMORY_S = 10.0
"""Time in which counted requests decay to a third, in seconds: an entry with few callers gets a
hundred requests in it."""
EDGE_TOLERANCE = 1e-6
"""Tolerance for rounding errors at a bucket's edge, as part of a bucket."""
DECAY_S = 1.0
"""Time between two updates of the decay, in seconds."""
ASSUMED_REQUESTS = 20.0
"""Requests assumed, spread evenly over the key space, beside those counted, so that a few counted
requests have little weight."""


class RegionShares(NamedTuple):
    """Settings for the share of a region's requests that its own targets get.

    Load pattern: a region with a tenth of the targets and a third of the callers, beside regions
    with idle targets.  A fixed weight of 6 for the own region gives the first region 1.3 times the
    mean load and sends the other regions' requests far without need.  So the share is computed from
    a region's part of the service's slots, divided by its part of the callers.

    Attributes
    ----------
    fill : float
        Load up to which the own region's targets are preferred, in multiples of the mean load, if
        the travel time to other regions matters.
    near_fill : float
        The same if a round trip is less than `near_share` of the route's aim.
    near_share : float
        Part of the route's aim.  A caller hardly notices a shorter round trip, and requests beyond
        the region's capacity would wait there without need.
    most : float
        Largest share.  The remainder keeps targets elsewhere in use, and connections to them open.
    """

    fill: float = 1.4
    near_fill: float = 1.0
    near_share: float = 0.1
    most: float = 0.9

    def find_fill(self, route: Route, far_s: float | None) -> float:
        """Return the load up to which the own region's targets are preferred.

        It is one of two values, chosen by the configured aim, so that entries whose measured times
        differ a little still compute the same order.

        Parameters
        ----------
        far_s : float or None
            Shortest round trip to another region, in seconds; None if unknown.
        """
        is_near = far_s is not None and far_s < self.near_share * route.aim_s
        return self.near_fill if is_near else self.fill


def compute_own_share(*, slot_part: float, caller_part: float, fill: float, most: float) -> float:
    """Compute the part of a region's keys whose first target is in the region.

    It is rounded to steps, so that a target that joins or leaves mostly moves only its own keys.

    Parameters
    ----------
    slot_part, caller_part : float
        The region's part of the service's slots, and of the callers, 0 to 1.
    fill, most : float
        See `RegionShares`.
    """
    share = min(most, fill * slot_part / caller_part)
    return round(share / SHARE_STEP) * SHARE_STEP


class RegionSlots(NamedTuple):
    """Slots of a service's targets, cold ones included, in the own region and in others."""

    own: int
    far: int

    @property
    def own_part(self) -> float:
        """The own region's part of all slots, 0 to 1."""
        return self.own / max(1, self.own + self.far)


class KeyWeights:
    """The part of the requests that falls on each bucket of the key space.

    Load pattern: some tens of keys, each with a few percent of a region's requests, so that a
    twentieth of the key space may have no requests, or an eighth of them.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._at = 0.0

    def add(self, point: float, now: float) -> None:
        """Count a request.

        Parameters
        ----------
        point : float
            Position of its key in the key space, from 0 to 1.
        """
        if now - self._at >= DECAY_S:
            kept = math.exp((self._at - now) / MEMORY_S)
            self._counts = [count * kept for count in self._counts]
            self._total *= kept
            self._at = now
        self._counts[int(point * BUCKETS)] += 1.0
        self._total += 1.0

    def get_part(self, bucket: int) -> float:
        """Return the part of the requests that falls on a bucket; it is never 0."""
        count = self._counts[bucket] + ASSUMED_REQUESTS / BUCKETS
        return count / (self._total + ASSUMED_REQUESTS)


class OwnShare:
    """The share of one service's keys that stay in the region, which changes at a bounded speed.

    After a loss of slots the share changes at once: requests can't stay where there is no target.
    After added slots or a changed configuration it changes slowly, bounded by the requests that
    move and not by the number of keys.  Otherwise a region that returns would get most of its
    requests back at once.

    Attributes
    ----------
    weights : KeyWeights
        Counts of requests over the key space; the caller adds each request.
    """

    def __init__(self) -> None:
        self.weights = KeyWeights()
        self._share: float | None = None
        self._aim = 0.0
        self._slots = RegionSlots(0, 0)
        self._at = 0.0

    @property
    def current(self) -> float:
        """The current share, 0 to 1."""
        return 0.0 if self._share is None else self._share

    @property
    def lag(self) -> float:
        """Part of the wanted share that the current share still lacks, 0 to 1."""
        return max(0.0, 1.0 - self.current / self._aim) if self._aim > 0 else 0.0

    def update(self, slots: RegionSlots, aim: float, now: float, *, max_shift: float) -> float:
        """Move the share towards its wanted value, and return it.

        Parameters
        ----------
        slots : RegionSlots
            Slots of the service's usable targets.
        aim : float
            The wanted share; see `compute_own_share`.
        max_shift : float
            Part of a region's requests that may change its region from one window to the next.
        """
        if self._share is None:
            self._share = aim
        elif _has_lost_slots(self._slots, slots):
            # Only the loss is applied at once: a slow move in progress continues slowly.
            self._share = min(1.0, max(0.0, self._share + aim - self._aim))
        if self._share != aim:
            allowed = SHIFT_PART * max_shift / WINDOW_S * (now - self._at)
            self._share = self._move(self._share, aim, allowed)
        self._aim, self._slots, self._at = aim, slots, now
        return self._share

    def _move(self, share: float, aim: float, allowed: float) -> float:
        """Move a share towards the aim until the allowed part of the requests has moved."""
        step = 1 if aim > share else -1
        while share != aim:
            place = share * BUCKETS
            # Rounding may put the share just beside an edge, which must not be processed twice.
            bucket = (
                math.floor(place + EDGE_TOLERANCE)
                if step > 0
                else math.ceil(place - EDGE_TOLERANCE) - 1
            )
            edge = (bucket + (step > 0)) / BUCKETS
            end = min(edge, aim) if step > 0 else max(edge, aim)
            weight = self.weights.get_part(bucket) * BUCKETS
            if weight * abs(end - share) > allowed:
                return share + step * allowed / weight
            allowed -= weight * abs(end - share)
            share = end
        return share


def _has_lost_slots(before: RegionSlots, after: RegionSlots) -> bool:
    """Check whether slots were lost: targets are removed, drain, or are in an evacuated hall."""
    return after.own < before.own or after.far < before.far
