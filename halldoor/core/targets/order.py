"""The order of a service's targets for a key, alike on every entry of a region."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import StrEnum

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
        return Distance.REGION if self.regions.get(hall) == self._own_region else Distance.FAR


def find_region_weight(route: Route, usual: float, upload: float) -> float:
    """Find the weight of the own region's targets for a route."""
    return upload if route.kind is RequestKind.UPLOAD else usual


def _score(key: str, target: Target, weight: float) -> tuple[float, str]:
    """Score a target for a key."""
    unit = (hash_key(key, target.name) + 1) / float((1 << 64) + 1)
    return (-weight / math.log(unit), target.name)
