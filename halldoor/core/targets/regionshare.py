"""How many of a region's keys have their first target in the region, and how fast that may change.

Load pattern: a region whose targets come back together, or a configuration that changes what is
asked of them.  Keys that change their region land on targets that don't have them at hand, and on
the links between regions, so that operators bound how many may do so at a time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.targets.regionflow import WINDOW_S
from halldoor.core.targets.route import Route

SHARE_STEP = 0.05
"""Step of the share of keys whose first target stands in the own region."""
SLEW_PART = 1 / 3
"""Part of what may move at a time that is used; chance moves as much between windows of 250
requests."""
BUCKETS = 100
"""Parts of the key space in which requests are counted: with some tens of keys, one key each."""
MEMORY_S = 10.0
"""Time in which counted requests fade to a third, in seconds: a small entry has a hundred."""
EDGE = 1e-6
"""Part of a bucket that rounding may come to."""
DECAY_S = 1.0
"""Time between two fadings, in seconds."""
ASSUMED_REQUESTS = 20.0
"""Requests assumed over the whole key space beside those counted, so that few say little."""


class RegionShares(NamedTuple):
    """How many of a region's requests its own targets take.

    Load pattern: a region with a tenth of the targets and a third of the callers, beside regions
    with targets to spare.  A fixed weight of 6 for the own region gives the first 1.3 times the
    mean load and sends the others' requests far for nothing.  So the share follows from room: a
    region's part of the service's slots over its part of the callers.

    Attributes
    ----------
    fill : float
        Load of the own region's targets that is accepted for being near, in multiples of the mean
        load, where travelling counts.
    near_fill : float
        The same where a round trip is less than `near_share` of the route's aim.
    near_share : float
        Below it, a caller hardly notices where the target is, and what the region can't carry
        would wait there for nothing.
    most : float
        Largest share.  The rest keeps targets elsewhere in use, and connections to them open.
    """

    fill: float = 1.4
    near_fill: float = 1.0
    near_share: float = 0.1
    most: float = 0.9

    def find_fill(self, route: Route, far_s: float | None) -> float:
        """Find the load that is accepted for being near.

        It is one of two figures, and the aim stands in the configuration, so that entries whose
        measured times differ a little still order alike.

        Parameters
        ----------
        far_s : float or None
            Shortest round trip to another region, in seconds; None where it is not known.
        """
        is_near = far_s is not None and far_s < self.near_share * route.aim_s
        return self.near_fill if is_near else self.fill


def find_own_share(*, room: float, callers: float, fill: float, most: float) -> float:
    """Find the part of a region's keys whose first target stands in the region.

    It goes in steps, so that a target that joins or leaves moves only its own keys, mostly.

    Parameters
    ----------
    room, callers : float
        The region's part of the service's slots, and of the callers.
    fill, most : float
        See `RegionShares`.
    """
    share = min(most, fill * room / callers)
    return round(share / SHARE_STEP) * SHARE_STEP


class Room(NamedTuple):
    """Slots of a service's targets, cold ones included, in the own region and in others."""

    own: int
    far: int

    @property
    def own_part(self) -> float:
        """The region's part."""
        return self.own / max(1, self.own + self.far)


class KeyWeights:
    """Which part of the requests the keys of each part of the key space have.

    Load pattern: some tens of keys, each of which is a few percent of a region's requests, so that
    a twentieth of the key space holds no request or an eighth of them.
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
            Place of its key in the key space, from 0 to 1.
        """
        if now - self._at >= DECAY_S:
            kept = math.exp((self._at - now) / MEMORY_S)
            self._counts = [count * kept for count in self._counts]
            self._total *= kept
            self._at = now
        self._counts[int(point * BUCKETS)] += 1.0
        self._total += 1.0

    def find(self, bucket: int) -> float:
        """Return the part of the requests that a part of the key space has; never 0."""
        count = self._counts[bucket] + ASSUMED_REQUESTS / BUCKETS
        return count / (self._total + ASSUMED_REQUESTS)


class OwnShare:
    """The share of one service, which follows the room at a bounded speed.

    What is lost moves at once: requests can't go on where there is no target.  What is won, or
    asked for, moves slowly, by the requests that move and not by the number of keys: a region that
    returns would take most of its requests back at once.

    Attributes
    ----------
    weights : KeyWeights
        Told of each request.
    """

    def __init__(self) -> None:
        self.weights = KeyWeights()
        self._share: float | None = None
        self._aim = 0.0
        self._room = Room(0, 0)
        self._at = 0.0

    @property
    def present(self) -> float:
        """The present share."""
        return 0.0 if self._share is None else self._share

    @property
    def lag(self) -> float:
        """Part of what the region should take that it does not take yet, 0 to 1."""
        return max(0.0, 1.0 - self.present / self._aim) if self._aim > 0 else 0.0

    def follow(self, room: Room, aim: float, now: float, *, max_shift: float) -> float:
        """Move towards a share; give the present one.

        Parameters
        ----------
        aim : float
            What follows from the room and the route's aim; see `find_own_share`.
        max_shift : float
            Part of a region's requests that may change its region from one window to the next.
        """
        if self._share is None:
            self._share = aim
        elif _has_lost(self._room, room):
            # Only what the loss asks for: a move that is under way goes on as slowly.
            self._share = min(1.0, max(0.0, self._share + aim - self._aim))
        if self._share != aim:
            allowed = SLEW_PART * max_shift / WINDOW_S * (now - self._at)
            self._share = self._move(self._share, aim, allowed)
        self._aim, self._room, self._at = aim, room, now
        return self._share

    def _move(self, share: float, aim: float, allowed: float) -> float:
        """Move a share as far as the requests on the way allow."""
        step = 1 if aim > share else -1
        while share != aim:
            place = share * BUCKETS
            # An edge may come out a little off, and must not be reached twice.
            bucket = math.floor(place + EDGE) if step > 0 else math.ceil(place - EDGE) - 1
            edge = (bucket + (step > 0)) / BUCKETS
            end = min(edge, aim) if step > 0 else max(edge, aim)
            weight = self.weights.find(bucket) * BUCKETS
            if weight * abs(end - share) > allowed:
                return share + step * allowed / weight
            allowed -= weight * abs(end - share)
            share = end
        return share


def _has_lost(before: Room, after: Room) -> bool:
    """Check whether targets are gone, drain, or stand in an evacuated hall."""
    return after.own < before.own or after.far < before.far
