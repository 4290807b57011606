"""The order of a service's targets for a key, computed identically on every entry of a region."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum, StrEnum, auto
from operator import itemgetter
from typing import NamedTuple

from halldoor.core.placement import hash_pairs, hash_to_unit
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.regionshare import OwnShare, RegionSlots, compute_own_share
from halldoor.core.targets.route import Route
from halldoor.core.targets.target import Target

ORDERS_KEPT = 4_096
"""Orders by key that are cached until a target changes; a few hundred bytes each."""

OWN_WEIGHT = 6.0
"""Factor on the weight of the own region's targets, for a key's targets after the first."""

_HASH_RANGE = float((1 << 64) + 1)
_BY_SCORE = itemgetter(0, 1)


class Distance(StrEnum):
    """How far a target is from this entry."""

    HALL = "hall"
    REGION = "region"
    FAR = "far"


class _Placement(Enum):
    """The regions that a key's targets come from.

    Attributes
    ----------
    OWN, OTHER
        The first target is in the own region, or in another one; the others are in any.
    AWAY
        Targets of other regions come before all of the own region.
    ANY
        No preference.
    """

    OWN = auto()
    OTHER = auto()
    AWAY = auto()
    ANY = auto()


class _Candidate(NamedTuple):
    """A target that may be in an order, with the values that don't depend on the key."""

    name: str
    encoded_name: bytes
    weight: float
    target: Target


class OrderSettings(NamedTuple):
    """Settings that decide which regions a key's targets come from.

    Attributes
    ----------
    fill, most : float
        Preference for the own region's targets; see `RegionShares`.
    max_shift : float
        Part of the region's requests that may move to another region at a time; see `OwnShare`.
    """

    fill: float
    most: float
    max_shift: float = 0.15


class _Order(NamedTuple):
    """A key's cached order.

    Attributes
    ----------
    until : float
        Time at which the next of its targets stops being cold, and the order is computed again.
    """

    targets: Sequence[Target]
    until: float


class _ServiceShare:
    """The share of one service's keys that stay in the region, with the inputs it is computed from.

    Attributes
    ----------
    slots, aim : RegionSlots, float
        Slots by region, and the wanted share computed from them; see `compute_own_share`.
    fill_settings : tuple of (float, float)
        The `OrderSettings` that the aim was computed with: fill and most.
    version : int
        Version of the catalog from which slots and aim were computed.
    """

    def __init__(self) -> None:
        self.share = OwnShare()
        self.slots = RegionSlots(0, 0)
        self.aim = 0.0
        self.fill_settings = (0.0, 0.0)
        self.version = -1


class KeyOrders:
    """Orders by weighted rendezvous hashing: a target that leaves moves only its own keys.

    Parameters
    ----------
    catalog : Catalog
        The targets that this entry knows.
    own_name, own_hall, own_region : str
        Name of this entry, its hall and its region.
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
        self._orders: dict[tuple[str, str, tuple[str, ...], _Placement], _Order] = {}
        self._candidates: dict[tuple[str, tuple[str, ...], bool], list[_Candidate]] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], _ServiceShare] = {}
        self._key_points: dict[str, float] = {}
        self._version = -1

    def get_order(
        self, route: Route, service: str, key: str, now: float, *, settings: OrderSettings
    ) -> Sequence[Target]:
        """Return the usable targets of a service in their order for a key.

        With the cold targets left out, it is the order that would hold if they didn't exist.

        Parameters
        ----------
        key : str
            Affinity key; if empty, this entry's name is used, so that the entries' orders differ.
        """
        if self._version != self._catalog.version or len(self._orders) > ORDERS_KEPT:
            self._version = self._catalog.version
            self._orders.clear()
            self._candidates.clear()
            self._key_points.clear()
            self._forget_routes()
        key = key or self._own_name
        placement = self._find_placement(route, service, key, now, settings)
        name = (service, key, route.home_regions, placement)
        order = self._orders.get(name)
        if order is None or now >= order.until:
            prefers_own = placement is not _Placement.ANY
            candidates = self._get_candidates(service, route.home_regions, prefers_own)
            order = self._build_order(candidates, key, placement, now)
            self._orders[name] = order
        return order.targets

    def substitute_first(
        self, order: Sequence[Target], excluded: Collection[str]
    ) -> Sequence[Target]:
        """Move the next usable target of the first one's region to the front.

        The key moves to that target anyway when the first one's record is removed, so its requests
        move only once.  Otherwise they would go to another region first and come back when the
        record is removed.

        Parameters
        ----------
        order : sequence of Target
            A key's order, not empty.
        excluded : collection of str
            Targets that are avoided for now.
        """
        is_far = self.is_far(order[0].record.hall)
        return _move_first(
            order, lambda t: t.name not in excluded and self.is_far(t.record.hall) is is_far
        )

    def _build_order(
        self, candidates: Sequence[_Candidate], key: str, placement: _Placement, now: float
    ) -> _Order:
        """Compute the order of some targets for a key."""
        hashes = hash_pairs(key, [c.encoded_name for c in candidates])
        scored = [
            (
                -candidate.weight / math.log((pair + 1) / _HASH_RANGE),
                candidate.name,
                candidate.target,
            )
            for pair, candidate in zip(hashes, candidates, strict=True)
        ]
        scored.sort(key=_BY_SCORE, reverse=True)
        warm = [target for _, _, target in scored if not target.is_cold(now)]
        if len(warm) == len(scored):
            return _Order(self._arrange(warm, placement), math.inf)
        order = self._arrange([target for _, _, target in scored], placement)
        # All targets of a hall may turn cold, and stop being cold, at the same moment.  Cold
        # targets keep their positions, and get what their rates allow; the others are ordered as
        # if the cold ones didn't exist.  Otherwise a third of the region's requests would change
        # their region at once.
        others = iter(self._arrange(warm, placement))
        targets = [target if target.is_cold(now) else next(others) for target in order]
        until = min(target.cold_until for target in order if target.is_cold(now))
        return _Order(targets, until)

    def _find_placement(
        self, route: Route, service: str, key: str, now: float, settings: OrderSettings
    ) -> _Placement:
        """Return which regions a key's targets come from, by the region's share of the keys."""
        if settings.fill <= 0:
            return _Placement.ANY
        share = self._update_share(route, service, settings, now)
        point = self._key_points.get(key)
        if point is None:
            point = self._key_points[key] = hash_to_unit(f"region of {key}")
        share.weights.add(point, now)
        if point < share.current:
            return _Placement.OWN
        # Requests that spill to other regions return as slowly as the keys do: both together must
        # stay within the bound on moves.
        is_away = share.lag > 0 and hash_to_unit(f"spill of {key}") < share.lag
        return _Placement.AWAY if is_away else _Placement.OTHER

    def _arrange(self, order: Sequence[Target], placement: _Placement) -> Sequence[Target]:
        """Rearrange an order so that targets of the wanted regions come first, if there are any."""
        if placement is _Placement.ANY:
            return order
        if placement is _Placement.AWAY:
            return sorted(order, key=lambda target: not self.is_far(target.record.hall))
        is_far = placement is _Placement.OTHER
        return _move_first(order, lambda t: self.is_far(t.record.hall) is is_far)

    def _get_candidates(
        self, service: str, homes: tuple[str, ...], prefers_own: bool
    ) -> list[_Candidate]:
        """Return the candidates of a service, cached until a target changes.

        They are the same for all keys, and every key's order is computed again after a change.
        """
        name = (service, homes, prefers_own)
        candidates = self._candidates.get(name)
        if candidates is None:
            usable = self._catalog.list_usable(service)
            if homes:
                usable = [t for t in usable if self.regions.get(t.record.hall) in homes]
            candidates = self._candidates[name] = [
                _Candidate(t.name, t.name.encode(), self._find_weight(t, prefers_own), t)
                for t in usable
            ]
        return candidates

    def _forget_routes(self) -> None:
        """Drop the shares of routes that the configuration no longer has."""
        routing = self._catalog.routing
        if routing is not None:
            names = {route.name for route in routing.routes}
            self._shares = {k: state for k, state in self._shares.items() if k[0] in names}

    def _update_share(
        self, route: Route, service: str, settings: OrderSettings, now: float
    ) -> OwnShare:
        """Update the share of keys whose first target is in the own region, by the slots there."""
        name = (route.name, service, route.home_regions)
        state = self._shares.get(name)
        if state is None:
            state = self._shares[name] = _ServiceShare()
        fill_settings = (settings.fill, settings.most)
        if (state.version, state.fill_settings) != (self._catalog.version, fill_settings):
            state.version, state.fill_settings = self._catalog.version, fill_settings
            state.slots = self._sum_slots(service, route.home_regions)
            state.aim = compute_own_share(
                slot_part=state.slots.own_part,
                caller_part=self._find_caller_part(),
                fill=settings.fill,
                most=settings.most,
            )
        state.share.update(state.slots, state.aim, now, max_shift=settings.max_shift)
        return state.share

    def _sum_slots(self, service: str, homes: tuple[str, ...]) -> RegionSlots:
        """Sum the slots of a service's usable targets, in the own region and in others."""
        slots: Counter[bool] = Counter()
        for candidate in self._get_candidates(service, homes, True):
            record = candidate.target.record
            slots[self.is_far(record.hall)] += record.slots
        return RegionSlots(own=slots[False], far=slots[True])

    def _find_caller_part(self) -> float:
        """Return the region's part of the callers, 0 to 1.

        It is estimated as the region's part of the halls: every entry knows the same number of
        halls, and failures don't change it, so that no key moves because entries restart.
        """
        halls = [region == self._own_region for region in self.regions.values()]
        return sum(halls) / len(halls) if any(halls) else 1.0

    def _find_weight(self, target: Target, prefers_own: bool) -> float:
        """Return a target's weight: its slots, times `OWN_WEIGHT` for a preferred own region."""
        slots = float(max(1, target.record.slots))
        is_preferred = prefers_own and not self.is_far(target.record.hall)
        return slots * OWN_WEIGHT if is_preferred else slots

    def find_distance(self, target: Target) -> Distance:
        """Return how far a target is from this entry."""
        hall = target.record.hall
        if hall == self._own_hall:
            return Distance.HALL
        return Distance.FAR if self.is_far(hall) else Distance.REGION

    def is_far(self, hall: str) -> bool:
        """Check whether a hall is in another region."""
        return self.regions.get(hall) != self._own_region


def _move_first(order: Sequence[Target], matches: Callable[[Target], bool]) -> Sequence[Target]:
    """Move the first target that matches to the front; return the order unchanged if none does."""
    for place, target in enumerate(order):
        if matches(target):
            return [target, *order[:place], *order[place + 1 :]]
    return order
