"""The order of a service's targets for a key, alike on every entry of a region."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.placement import hash_key
from halldoor.core.targets.catalog import Catalog, Target
from halldoor.core.targets.route import RequestKind, Route

ORDERS_KEPT = 4_096
"""Orders of targets by key that are kept between changes; a few hundred bytes each."""


class Distance(StrEnum):
    """How far a target is from this entry."""

    HALL = "hall"
    REGION = "region"
    FAR = "far"


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
        self._orders: dict[tuple[str, str, tuple[str, ...], float], list[Target]] = {}
        self._version = -1

    def get_order(self, route: Route, service: str, key: str, weight: float) -> Sequence[Target]:
        """Give the usable targets of a service in their order for a key.

        Parameters
        ----------
        key : str
            Requests without one are ordered by this entry's name, so that entries differ.
        weight : float
            Weight of the own region's targets.
        """
        if self._version != self._catalog.version or len(self._orders) > ORDERS_KEPT:
            self._version = self._catalog.version
            self._orders.clear()
        name = (service, key, route.home_regions, weight)
        order = self._orders.get(name)
        if order is None:
            order = self._build_order(route, service, key or self._own_name, weight)
            self._orders[name] = order
        return order

    def _build_order(self, route: Route, service: str, key: str, weight: float) -> list[Target]:
        """Order the targets that the route allows."""
        usable = self._catalog.list_usable(service)
        homes = route.home_regions
        if homes:
            usable = [t for t in usable if self.regions.get(t.record.hall) in homes]
        return sorted(usable, key=lambda t: _score(key, t, self._weigh(t, weight)), reverse=True)

    def _weigh(self, target: Target, weight: float) -> float:
        """Weigh a target by its slots; those of the own region count for more."""
        slots = float(max(1, target.record.slots))
        return slots if self.find_distance(target) is Distance.FAR else slots * weight

    def find_distance(self, target: Target) -> Distance:
        """Tell how far a target is."""
        hall = target.record.hall
        if hall == self._own_hall:
            return Distance.HALL
        return Distance.FAR if self.is_far(hall) else Distance.REGION

    def is_far(self, hall: str) -> bool:
        """Tell whether a hall stands in another region."""
        return self.regions.get(hall) != self._own_region


class RegionWeights(NamedTuple):
    """How much more the own region's targets weigh in the order than those of others.

    Load pattern: a fleet whose regions warm each key apart, and one of which has few targets for
    its callers.  A weight keeps requests near, but each region that has its own target for a key
    pays a cold start for it, and a region of few targets fills with its callers' keys.  So it
    follows from what being far costs a caller.

    Attributes
    ----------
    usual, upload : float
        Weight where travelling counts.  2, 6 and 12 were measured where a round trip is 0.08 to
        0.2 of the aim: 6 served best.  1: no preference.
    near : float
        Weight where the round trip is less than `near_share` of the route's aim.
    near_share : float
        Below it, a caller hardly notices where the target is.
    """

    usual: float = 6.0
    upload: float = 6.0
    near: float = 1.0
    near_share: float = 0.04

    def find(self, route: Route, far_s: float | None) -> float:
        """Find the weight for a route.

        It is one of two figures, and the aim stands in the configuration, so that entries whose
        measured times differ a little still order alike.

        Parameters
        ----------
        far_s : float or None
            Shortest round trip to another region, in seconds; None where it is not known.
        """
        if far_s is not None and far_s < self.near_share * route.aim_s:
            return self.near
        return self.upload if route.kind is RequestKind.UPLOAD else self.usual


def _score(key: str, target: Target, weight: float) -> tuple[float, str]:
    """Score a target for a key."""
    unit = (hash_key(key, target.name) + 1) / float((1 << 64) + 1)
    return (-weight / math.log(unit), target.name)
