"""Choose the target of a request: by affinity key with bounds on load and on cold starts."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from halldoor.core.budget import ColdShare
from halldoor.core.catalog import Catalog, Target
from halldoor.core.load import LoadTable
from halldoor.core.outlier import OutlierTable
from halldoor.core.placement import hash_key, rank
from halldoor.core.route import RequestKind, Route

ORDERS_KEPT = 4_096
"""Orders of targets by key that are kept between changes; a few hundred bytes each."""


class ChoiceSettings(NamedTuple):
    """Bounds of the choice.

    Attributes
    ----------
    load_factor : float
        Requests that all entries together may have on a target, in multiples of its slots.
    busy_load, full_load : float
        Reported load, in multiples of the slots, from which a target is passed over while
        another has room, and at all.
    spill_choices : int
        Targets that may serve one key; each of them has to see the key once to be warm for it.
        One to four were measured with load factors of two to five: two and four served best.
    ejected_share : float
        Part of a service's targets that may be passed over as broken; beyond it none is.
    region_weight, upload_region_weight : float
        Weight of the own region's targets; for uploads, which carry most bytes, a higher one.
        Links between regions have limits, and a region with few targets must not be filled by
        its own callers: weights of 2 and 3 were measured alike, with a fifth and a third fewer
        bytes between regions than 1.
    cold_excess, cold_slack : float
        All entries together may send a cold target its rate times the first plus the second.
    cold_margin : float
        Part of that to use; the rest covers entries that don't know yet that it is cold.
    """

    load_factor: float = 4.0
    busy_load: float = 1.34
    full_load: float = 2.5
    spill_choices: int = 2
    ejected_share: float = 0.5
    region_weight: float = 2.0
    upload_region_weight: float = 4.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    cold_margin: float = 0.6


class NoTarget(NamedTuple):
    """No target can take the request now.

    Attributes
    ----------
    reason : str
        Why, in a few words.
    passed_over : Mapping of str to int
        How many targets were passed over, by reason.
    """

    reason: str
    passed_over: Mapping[str, int]

    def __str__(self) -> str:
        counts = ",".join(f"{reason}={count}" for reason, count in self.passed_over.items())
        return f"{self.reason} {counts}".strip()


class TargetOut(NamedTuple):
    """A target that gets no requests, or few, and why."""

    target: str
    service: str
    reason: str


class Chooser:
    """Choose targets and count what is on them from here.

    Parameters
    ----------
    catalog : Catalog
        The targets.
    outliers : OutlierTable
        Which of them fail.
    loads : LoadTable
        What load they reported.
    own_name : str
        Name of this entry, for its rank among those that may send to a cold target.
    settings : ChoiceSettings
        Bounds.
    own_region : str
        Region of this entry and its callers.
    regions : Mapping of str to str
        Region of each hall.
    """

    def __init__(
        self,
        catalog: Catalog,
        outliers: OutlierTable,
        loads: LoadTable,
        *,
        own_name: str,
        own_region: str,
        regions: Mapping[str, str],
        settings: ChoiceSettings,
    ) -> None:
        self._catalog = catalog
        self._outliers = outliers
        self._loads = loads
        self._own_name = own_name
        self.regions = regions
        self._own_region = own_region
        self.settings = settings
        self._cold = ColdShare()
        self._orders: dict[tuple[str, str, tuple[str, ...], bool], list[Target]] = {}
        self._orders_version = -1
        self._ranks: dict[str, int] = {}
        self._ranks_version = -1
        self.in_flight: Counter[str] = Counter()

    def choose(
        self, route: Route, service: str, key: str, now: float, *, tried: Collection[str] = ()
    ) -> Target | NoTarget:
        """Choose a target and, for a cold one, take from this entry's share of its rate.

        A key goes to the first few targets of its order only, so that they stay warm for it:
        under overload, refusing is better than making every target cold for every key.

        Parameters
        ----------
        tried : collection of str, optional
            Targets that had this request before.
        """
        order = self._order(route, service, key)
        if not order:
            return NoTarget("no target", {})
        passed: Counter[str] = Counter()
        candidates = self._list_candidates(order, now, tried, passed)
        choices = candidates[: self.settings.spill_choices] if key else candidates
        for limit in (self.settings.busy_load, self.settings.full_load):
            for target in choices:
                if self._has_room(target, now, limit) and (
                    not target.is_cold(now) or self._take_cold(target, now)
                ):
                    return target
        passed["full or cold"] = len(choices)
        return NoTarget("no room", passed)

    def list_out(self, now: float) -> list[TargetOut]:
        """List the targets that get no requests, or few, for operators to look at."""
        found = []
        for target in self._catalog.list_targets():
            reason = self._find_reason_out(target, now)
            if reason:
                found.append(TargetOut(target.name, target.record.service, reason))
        return found

    def _find_reason_out(self, target: Target, now: float) -> str:
        """Say why a target gets no requests, or few; empty where it gets its share."""
        if target.record.is_draining:
            return "draining"
        if target.record.hall in self._catalog.evacuated:
            return "hall evacuated"
        if target.lapsed_at is not None:
            return "record lapsed"
        if self._outliers.is_ejected(target.name, now):
            return "ejected"
        return "cold" if target.is_cold(now) else ""

    @contextmanager
    def count(self, target: str) -> Iterator[None]:
        """Count a request as in flight on a target until the block ends."""
        self.in_flight[target] += 1
        try:
            yield
        finally:
            self.in_flight[target] -= 1
            if self.in_flight[target] <= 0:
                del self.in_flight[target]

    def forget(self, target: str) -> None:
        """Drop what was counted of a target that is gone."""
        self._cold.forget(target)

    def _list_candidates(
        self, order: Sequence[Target], now: float, tried: Collection[str], passed: Counter[str]
    ) -> list[Target]:
        """List the targets worth trying, in order; doubtful ones only where there is no other."""
        sound: list[Target] = []
        doubtful: list[Target] = []
        for target in order:
            if target.name in tried:
                passed["tried"] += 1
            elif self._outliers.is_ejected(target.name, now):
                passed["ejected"] += 1
                doubtful.append(target)
            elif target.lapsed_at is not None:
                passed["lapsed"] += 1
                doubtful.append(target)
            elif target.is_cold(now) and not self._may_be_sent_cold(target):
                passed["cold"] += 1
            else:
                sound.append(target)
        # Where most look broken, the measurement is more likely wrong than the targets.
        if len(doubtful) > self.settings.ejected_share * len(order):
            kept = {t.name for t in (*sound, *doubtful)}
            return [t for t in order if t.name in kept]
        return sound or doubtful

    def _has_room(self, target: Target, now: float, limit: float) -> bool:
        """Tell whether a target has room, by own counts and by what it reported."""
        own = self.in_flight[target.name]
        if own and self._outliers.is_on_trial(target.name):
            return False
        return own < self._bound(target) and self._loads.estimate(target.name, now) < limit

    def _bound(self, target: Target) -> int:
        """Give the requests that this entry may have on a target.

        The shares of all entries add up to the whole, as long as each has at least one.
        """
        total = round(self.settings.load_factor * target.record.slots)
        whole, rest = divmod(total, self._catalog.count_members())
        return max(1, whole + (1 if self._rank(target.name) < rest else 0))

    def _may_be_sent_cold(self, target: Target) -> bool:
        """Tell whether this entry is one of those that may send to a cold target."""
        return self._rank(target.name) < max(1, int(self._cold_limit(target)))

    def _cold_limit(self, target: Target) -> float:
        """Give the requests a second that all entries may send to a cold target."""
        routing = self._catalog.routing
        service = routing.services.get(target.record.service) if routing is not None else None
        if service is None:
            return 0.0
        settings = self.settings
        limit = service.cold_rate_per_s * settings.cold_excess + settings.cold_slack
        return limit * settings.cold_margin

    def _take_cold(self, target: Target, now: float) -> bool:
        """Take one request from this entry's share of a cold target's rate."""
        limit = self._cold_limit(target)
        return limit > 0 and self._cold.take(
            target.name,
            now,
            limit_per_s=limit,
            entries=self._catalog.count_sharers(now),
            rank=self._rank(target.name),
        )

    def _rank(self, target: str) -> int:
        """Give this entry's place in a target's order of entries."""
        if self._catalog.members_version != self._ranks_version:
            self._ranks_version = self._catalog.members_version
            self._ranks.clear()
        if target not in self._ranks:
            members = {*self._catalog.members, self._own_name}
            self._ranks[target] = rank(target, members).index(self._own_name)
        return self._ranks[target]

    def _order(self, route: Route, service: str, key: str) -> Sequence[Target]:
        """Order a service's targets for a key, alike on every entry of a region."""
        homes = route.home_regions
        is_upload = route.kind is RequestKind.UPLOAD
        usable = self._catalog.list_usable(service)
        if homes:
            usable = [t for t in usable if self.regions.get(t.record.hall) in homes]
        if not key:
            return sorted(usable, key=lambda t: self.in_flight[t.name] / max(1, t.record.slots))
        if self._orders_version != self._catalog.version or len(self._orders) > ORDERS_KEPT:
            self._orders_version = self._catalog.version
            self._orders.clear()
        name = (service, key, homes, is_upload)
        order = self._orders.get(name)
        if order is None:
            order = sorted(
                usable, key=lambda t: _score(key, t, self._weigh(t, is_upload)), reverse=True
            )
            self._orders[name] = order
        return order

    def _weigh(self, target: Target, is_upload: bool) -> float:
        """Weigh a target by its slots; those of the own region count for more."""
        weight = float(max(1, target.record.slots))
        if self.regions.get(target.record.hall) == self._own_region:
            settings = self.settings
            weight *= settings.upload_region_weight if is_upload else settings.region_weight
        return weight


def _score(key: str, target: Target, weight: float) -> tuple[float, str]:
    """Score a target for a key by weighted rendezvous hashing."""
    unit = (hash_key(key, target.name) + 1) / float((1 << 64) + 1)
    return (-weight / math.log(unit), target.name)
