"""The order of a service's targets for a key, alike on every entry of a region."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import StrEnum
from operator import itemgetter
from typing import NamedTuple

from halldoor.core.placement import hash_pairs, to_unit
from halldoor.core.targets.catalog import Catalog, Target
from halldoor.core.targets.regionshare import OwnShare, Room, find_own_share, measure_room
from halldoor.core.targets.route import Route

ORDERS_KEPT = 4_096
"""Orders of targets by key that are kept between changes; a few hundred bytes each."""

OWN_WEIGHT = 6.0
"""Weight of the own region's targets among a key's further targets.

At 12 entries 2, 6 and 12 were measured: 6 served best.
"""

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


class OrderSettings(NamedTuple):
    """How keys are placed.

    Attributes
    ----------
    fill, most : float
        How far the own region's targets are preferred; see `RegionShares`.
    """

    fill: float
    most: float


class _Order(NamedTuple):
    """A key's order.

    Attributes
    ----------
    until : float
        When the next target joins it.
    """

    targets: list[Target]
    until: float


class _ServiceShare:
    """The share of one service's keys that stay in the region, and what it follows from."""

    def __init__(self, max_shift: float) -> None:
        self.share = OwnShare(max_shift)
        self.room = Room(0, 0, 0, 0)
        self.until = -math.inf
        self.version = -1


class KeyOrders:
    """Orders by weighted rendezvous hashing: a target that leaves moves only its own keys.

    A target that joins, or stops being cold, takes its keys one after the other.

    Parameters
    ----------
    catalog : Catalog
        The targets.
    own_name, own_hall, own_region : str
        This entry, its hall and its region.
    regions : Mapping of str to str
        Region of each hall.
    join_s : float
        Time in which a target takes its keys, in seconds.
    max_shift : float
        Part of the region's requests that may change its region at a time; see `OwnShare`.
    """

    def __init__(
        self,
        catalog: Catalog,
        *,
        own_name: str,
        own_hall: str,
        own_region: str,
        regions: Mapping[str, str],
        join_s: float,
        max_shift: float,
    ) -> None:
        self._catalog = catalog
        self._own_name = own_name
        self._own_hall = own_hall
        self._own_region = own_region
        self.regions = regions
        self._join_s = join_s
        self._max_shift = max_shift
        self._orders: dict[tuple[str, str, tuple[str, ...], bool, float], _Order] = {}
        self._candidates: dict[tuple[str, tuple[str, ...], bool], list[_Candidate]] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], _ServiceShare] = {}
        self._version = -1

    def get_order(
        self, route: Route, service: str, key: str, now: float, *, settings: OrderSettings
    ) -> Sequence[Target]:
        """Give the usable targets of a service in their order for a key.

        Those that are cold, or have not taken the key over yet, come last.

        Parameters
        ----------
        key : str
            Requests without one are ordered by this entry's name, so that entries differ.
        """
        if self._version != self._catalog.version or len(self._orders) > ORDERS_KEPT:
            self._version = self._catalog.version
            self._orders.clear()
            self._candidates.clear()
        prefers_own = settings.fill > 0
        share = self._find_share(route, service, settings, now) if prefers_own else 0.0
        name = (service, key, route.home_regions, prefers_own, share)
        order = self._orders.get(name)
        if order is None or now >= order.until:
            candidates = self._get_candidates(service, route.home_regions, prefers_own)
            order = self._build_order(candidates, key or self._own_name, share, now)
            self._orders[name] = order
        return order.targets

    def _build_order(
        self, candidates: Sequence[_Candidate], key: str, share: float, now: float
    ) -> _Order:
        """Order targets for a key."""
        hashes = hash_pairs(key, [c.encoded_name for c in candidates])
        scored = [
            (-candidate.weight / math.log((pair + 1) / _UNITS), candidate.name, candidate.target)
            for pair, candidate in zip(hashes, candidates, strict=True)
        ]
        scored.sort(key=_BY_SCORE, reverse=True)
        joined: list[Target] = []
        joining: list[Target] = []
        until = math.inf
        for _, _, target in scored:
            joins_at = self._find_join(target, key, now)
            if joins_at <= now:
                joined.append(target)
            else:
                joining.append(target)
                until = min(until, joins_at)
        return _Order(self._prefer_region(joined, key, share) + joining, until)

    def _find_join(self, target: Target, key: str, now: float) -> float:
        """Find when a target takes a key over: alike on every entry, and evenly over keys.

        Targets of a hall stop being cold in the same moment.  In a replay of a hall of two, 0.07 to
        0.12 of the region's requests change their region within 2 s; 0.31 to 0.37 where its keys
        return at once (4 seeds).
        """
        ready_at = target.ready_at
        if ready_at + self._join_s <= now:
            return ready_at
        return ready_at + self._join_s * to_unit(f"{key} joins {target.name}")

    def _prefer_region(self, order: list[Target], key: str, share: float) -> list[Target]:
        """Let a key's first target stand in the own region, or not, by the region's share."""
        is_own = to_unit(f"region of {key}") < share
        for place, target in enumerate(order):
            if self.is_far(target.record.hall) is not is_own:
                return [target, *order[:place], *order[place + 1 :]]
        return order

    def _get_candidates(
        self, service: str, homes: tuple[str, ...], prefers_own: bool
    ) -> list[_Candidate]:
        """Give what is alike for all keys until a target changes, computed once.

        After each change of targets every key's order is built again.
        """
        name = (service, homes, prefers_own)
        candidates = self._candidates.get(name)
        if candidates is None:
            usable = self._catalog.list_usable(service)
            if homes:
                usable = [t for t in usable if self.regions.get(t.record.hall) in homes]
            candidates = self._candidates[name] = [
                _Candidate(t.name, t.name.encode(), self._weigh(t, prefers_own), t) for t in usable
            ]
        return candidates

    def _find_share(self, route: Route, service: str, settings: OrderSettings, now: float) -> float:
        """Find the part of the keys whose first target is one of the own region's."""
        name = (route.name, service, route.home_regions)
        state = self._shares.get(name)
        if state is None:
            state = self._shares[name] = _ServiceShare(self._max_shift)
        if state.version != self._catalog.version or now >= state.until:
            targets = [c.target for c in self._get_candidates(service, route.home_regions, True)]
            state.version = self._catalog.version
            state.until = min((t.ready_at for t in targets if t.ready_at > now), default=math.inf)
            state.room = measure_room(
                [
                    (t.record.slots, not self.is_far(t.record.hall), t.ready_at <= now)
                    for t in targets
                ]
            )
        aim = find_own_share(
            room=state.room.own / max(1, state.room.total),
            callers=self._find_callers(),
            fill=settings.fill,
            most=settings.most,
        )
        return state.share.follow(state.room, aim, now)

    def _find_callers(self) -> float:
        """Find the region's part of the callers.

        Halls stand for callers: their number is known alike everywhere and never changes with
        what fails, so that no key moves because entries restart.
        """
        halls = [region == self._own_region for region in self.regions.values()]
        return sum(halls) / len(halls) if any(halls) else 1.0

    def _weigh(self, target: Target, prefers_own: bool) -> float:
        """Weigh a target by its slots; those of the own region count for more, if any do."""
        slots = float(max(1, target.record.slots))
        is_preferred = prefers_own and not self.is_far(target.record.hall)
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
