"""The order of a service's targets for a key, alike on every entry of a region."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import StrEnum
from operator import itemgetter
from typing import NamedTuple

from halldoor.core.placement import hash_pairs, to_unit
from halldoor.core.targets.catalog import Catalog, Target
from halldoor.core.targets.route import Route

ORDERS_KEPT = 4_096
"""Orders of targets by key that are kept between changes; a few hundred bytes each."""

OWN_WEIGHT = 6.0
"""Weight of the own region's targets among a key's further targets.

At 12 entries 2, 6 and 12 were measured: 6 served best.
"""
SHARE_STEP = 0.05
"""Step of the share of keys whose first target stands in the own region."""

_UNITS = float((1 << 64) + 1)
_BY_SCORE = itemgetter(0, 1)


class Distance(StrEnum):
    """How far a target is from this entry."""

    HALL = "hall"
    REGION = "region"
    FAR = "far"


class _Candidate(NamedTuple):
    """A target that may be in an order, with what does not depend on the key."""

    name: str
    encoded_name: bytes
    weight: float
    target: Target


class KeyOrders:
    """Orders by weighted rendezvous hashing: a target that leaves moves only its own keys.

    Parameters
    ----------
    catalog : Catalog
        The targets.
    own_name, own_hall, own_region : str
        This entry, its hall and its region.
    regions : Mapping of str to str
        Region of each hall.
    """

    def __init__(
        self,
        catalog: Catalog,
        *,
        own_name: str,
        own_hall: str,
        own_region: str,
        regions: Mapping[str, str],
    ) -> None:
        self._catalog = catalog
        self._own_name = own_name
        self._own_hall = own_hall
        self._own_region = own_region
        self.regions = regions
        self._orders: dict[tuple[str, str, tuple[str, ...], float, float], list[Target]] = {}
        self._candidates: dict[tuple[str, tuple[str, ...], float], list[_Candidate]] = {}
        self._version = -1

    def get_order(
        self, route: Route, service: str, key: str, *, fill: float, most: float
    ) -> Sequence[Target]:
        """Give the usable targets of a service in their order for a key.

        Parameters
        ----------
        key : str
            Requests without one are ordered by this entry's name, so that entries differ.
        fill, most : float
            How far the own region's targets are preferred; see `RegionShares`.
        """
        if self._version != self._catalog.version or len(self._orders) > ORDERS_KEPT:
            self._version = self._catalog.version
            self._orders.clear()
            self._candidates.clear()
        name = (service, key, route.home_regions, fill, most)
        order = self._orders.get(name)
        if order is None:
            order = self._build_order(route, service, key or self._own_name, fill, most)
            self._orders[name] = order
        return order

    def _build_order(
        self, route: Route, service: str, key: str, fill: float, most: float
    ) -> list[Target]:
        """Order the targets that the route allows."""
        candidates = self._get_candidates(service, route.home_regions, fill)
        hashes = hash_pairs(key, [c.encoded_name for c in candidates])
        scored = [
            (-candidate.weight / math.log((pair + 1) / _UNITS), candidate.name, candidate.target)
            for pair, candidate in zip(hashes, candidates, strict=True)
        ]
        scored.sort(key=_BY_SCORE, reverse=True)
        order = [target for _, _, target in scored]
        if fill <= 0:
            return order
        is_own = to_unit(f"region of {key}") < self._find_share(order, fill, most)
        for place, target in enumerate(order):
            if self.is_far(target.record.hall) is not is_own:
                return [target, *order[:place], *order[place + 1 :]]
        return order

    def _get_candidates(
        self, service: str, homes: tuple[str, ...], fill: float
    ) -> list[_Candidate]:
        """Give what is alike for all keys until a target changes, computed once.

        After each change of targets every key's order is built again.
        """
        name = (service, homes, fill)
        candidates = self._candidates.get(name)
        if candidates is None:
            usable = self._catalog.list_usable(service)
            if homes:
                usable = [t for t in usable if self.regions.get(t.record.hall) in homes]
            candidates = self._candidates[name] = [
                _Candidate(t.name, t.name.encode(), self._weigh(t, fill), t) for t in usable
            ]
        return candidates

    def _find_share(self, usable: Sequence[Target], fill: float, most: float) -> float:
        """Find the part of the keys whose first target is one of the own region's."""
        slots = sum(t.record.slots for t in usable)
        own = sum(t.record.slots for t in usable if not self.is_far(t.record.hall))
        halls = [region == self._own_region for region in self.regions.values()]
        # Halls stand for callers: their number is known alike everywhere and never changes with
        # what fails, so that no key moves because entries restart.
        callers = sum(halls) / len(halls) if any(halls) else 1.0
        return find_own_share(room=own / max(1, slots), callers=callers, fill=fill, most=most)

    def _weigh(self, target: Target, fill: float) -> float:
        """Weigh a target by its slots; those of the own region count for more, if any do."""
        slots = float(max(1, target.record.slots))
        is_preferred = fill > 0 and not self.is_far(target.record.hall)
        return slots * OWN_WEIGHT if is_preferred else slots

    def find_distance(self, target: Target) -> Distance:
        """Tell how far a target is."""
        hall = target.record.hall
        if hall == self._own_hall:
            return Distance.HALL
        return Distance.FAR if self.is_far(hall) else Distance.REGION

    def is_far(self, hall: str) -> bool:
        """Tell whether a hall stands in another region."""
        return self.regions.get(hall) != self._own_region


class RegionShares(NamedTuple):
    """How many of a region's requests its own targets take.

    Load pattern: a region with a tenth of the targets and a third of the callers, beside regions
    with targets to spare.  A fixed weight of 6 for the own region gives the first 1.3 times the
    mean load and sends the others' requests far for nothing.  So the share follows from room: a
    region's part of the service's slots over its part of the callers.  In a replay of 60 entries
    at 0.6 of the slots, 0.80 of the small region's requests were in time by room, 0.77 by weight.

    Attributes
    ----------
    fill : float
        Load of the own region's targets that is accepted for being near, in multiples of the mean
        load, where travelling counts.  At 12 entries and a round trip of 0.1 to 0.2 of the aim,
        weights that come to 0.6, 1.3 and 1.9 of it were measured: 1.3 served best.
    near_fill : float
        The same where a round trip is less than `near_share` of the route's aim.
    near_share : float
        Below it, a caller hardly notices where the target is.  On a busy fleet of 75 with a round
        trip of 0.07 of the aim, 0.1 in place of 0.04 answers 64% in place of 57% of the small
        region's callers in time; what the region can't carry waits there for nothing.
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
