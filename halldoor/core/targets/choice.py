"""Choose the target of a request: by the time to its answer, where its key is warm.

A key has an order of targets that every entry of the region computes alike.  Its first target
takes its requests as long as an answer can be expected in time; the second one helps out when it
has a free slot and answers sooner, be it cold, and others only while they are mostly idle.  So keys
stay warm, and overload does not spread them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from itertools import islice
from typing import NamedTuple

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.cost import CostModel, Estimate
from halldoor.core.targets.latency import LatencyModel, WorkLevels
from halldoor.core.targets.limits import LimitTable
from halldoor.core.targets.load import LoadTable
from halldoor.core.targets.order import KeyOrders, OrderSettings
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.rates import EntryRanks, TargetRates
from halldoor.core.targets.rests import RestTable
from halldoor.core.targets.route import Route
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.targets.target import Target

IN_USE_S = 1.0
"""Time since the last request to a target within which it is in use, in seconds."""
AIM_SHARE = 0.9
"""Part of a route's aim to plan for; the rest is the way between caller and entry."""


class NoTarget(NamedTuple):
    """No target can take the request now.

    Attributes
    ----------
    reason : str
        Why, in a few words.
    passed_over : Mapping of str to int
        How many targets were passed over, by reason.
    room_after_s : float
        When the first of the key's targets should have a free slot, in seconds; 0 where that is
        not known.
    is_asked : bool
        All targets asked for a rest, and it is when the first of those ends.
    """

    reason: str
    passed_over: Mapping[str, int]
    room_after_s: float = 0.0
    is_asked: bool = False

    def __str__(self) -> str:
        counts = ",".join(f"{reason}={count}" for reason, count in self.passed_over.items())
        return f"{self.reason} {counts}".strip()


class Choice(NamedTuple):
    """A target for a request, and what is expected of it.

    Attributes
    ----------
    place : int
        Place of the target in the key's order, from 0; targets not worth trying don't count.
    """

    target: Target
    estimate: Estimate
    place: int


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
    latency : LatencyModel
        How long they take.
    own_name : str
        Name of this entry, for its rank among those that may send to a cold target.
    settings : ChoiceSettings
        Bounds.
    own_hall, own_region : str
        Hall and region of this entry and its callers.
    regions : Mapping of str to str
        Region of each hall.
    """

    def __init__(
        self,
        catalog: Catalog,
        outliers: OutlierTable,
        loads: LoadTable,
        latency: LatencyModel,
        *,
        own_name: str,
        own_hall: str,
        own_region: str,
        regions: Mapping[str, str],
        settings: ChoiceSettings,
    ) -> None:
        self._catalog = catalog
        self._outliers = outliers
        self._loads = loads
        self._latency = latency
        self._costs = CostModel(latency)
        self.orders = KeyOrders(
            catalog,
            own_name=own_name,
            own_hall=own_hall,
            own_region=own_region,
            regions=regions,
        )
        self.settings = settings
        self._ranks = EntryRanks(catalog, own_name)
        self.limits = LimitTable(own_name)
        self.rests = RestTable()
        self.in_flight: Counter[str] = Counter()
        self._rates = TargetRates(catalog, self._ranks, self.limits, self.rests, self.in_flight)
        self._chosen_at: dict[str, float] = {}

    def begin(self, now: float) -> None:
        """Begin to choose, after the start of this entry."""
        self._rates.begin(now)

    def choose(
        self, route: Route, service: str, key: str, now: float, *, tried: Collection[str] = ()
    ) -> Choice | NoTarget:
        """Choose a target and, where its rate is bounded, take from this entry's share.

        Parameters
        ----------
        tried : collection of str, optional
            Targets that had this request before.
        """
        settings = self.settings
        key = key if settings.uses_keys else ""
        fill = settings.region_shares.find_fill(route, self._find_far_travel())
        placing = OrderSettings(fill, settings.most_local, settings.max_shift)
        order = self.orders.get_order(route, service, key, now, settings=placing)
        if not order:
            return NoTarget("no target", {})
        passed: Counter[str] = Counter()
        candidates = self._number(order[0], self._iter_candidates(order, now, tried, passed), tried)
        levels = self._costs.get_levels(name_kind(service, route))
        self._loads.adapt(service, targets=len(order), work_s=levels.mean_s)
        own = islice(candidates, settings.spill_choices if key else None)
        weighed = [self._weigh(target, key, levels, place, now) for place, target in own]
        choices = []
        for choice in weighed:
            reason = self._find_reason_against(choice, key, route, levels)
            if reason:
                passed[reason] += 1
            else:
                choices.append(choice)
        if key and weighed:
            first_s = self._latency.get_travel(weighed[0].target.record.hall)
            choices.sort(key=lambda c: c.estimate.find_cost(least_travel_s=first_s))
        else:
            choices.sort(key=lambda c: c.estimate.cost_s)
        for choice in choices:
            if self._take(choice.target, now):
                return choice
            passed["rate"] += 1
        for place, target in candidates:
            if self._is_spare(target, now) and self._take(target, now):
                return self._weigh(target, key, levels, place, now)
        rest_s = self.find_rest(order, now)
        if rest_s > 0:
            return NoTarget("all rest", passed, rest_s, is_asked=True)
        waits = [choice.estimate.wait_s for choice in weighed]
        waits = waits or [self._rates.find_wait(target, now) for target in order]
        return NoTarget("no room", passed, min((w for w in waits if w > 0), default=0.0))

    def find_rest(self, targets: Sequence[Target], now: float) -> float:
        """Return when the first of some targets wants requests again, in seconds.

        It is 0 where one of them wants any now.
        """
        return min((self.rests.find_wait(target.start, now) for target in targets), default=0.0)

    def _find_far_travel(self) -> float | None:
        """Find the shortest round trip to another region; None where none is known."""
        halls = [h for h in self._latency.list_measured_halls() if self.orders.is_far(h)]
        return min(map(self._latency.get_shortest_travel, halls), default=None)

    def _weigh(
        self, target: Target, key: str, levels: WorkLevels, place: int, now: float
    ) -> Choice:
        """Weigh a target for a request."""
        estimate = self._costs.estimate(
            target,
            key,
            levels,
            on_target=self._count(target, now),
            place=place,
            now=now,
        )
        return Choice(target, estimate, place)

    def _find_reason_against(
        self, choice: Choice, key: str, route: Route, levels: WorkLevels
    ) -> str:
        """Return why a target can't take a request now; empty where it can."""
        target, estimate, place = choice
        if not self._has_room(target, estimate.on_target):
            return "full"
        if key and place and estimate.wait_s > 0:
            # What waits there would only make its own keys wait too.
            return "busy"
        limit = self.settings.wait_limit
        left_s = AIM_SHARE * route.aim_s - estimate.travel_s - levels.warm_s
        if limit and estimate.wait_s > limit * max(left_s, levels.warm_s):
            return "late"
        return ""

    def _is_spare(self, target: Target, now: float) -> bool:
        """Check whether a target that is none of the key's own is mostly idle."""
        limit = self.settings.spare_load
        count = self._count(target, now)
        is_idle = count < limit * target.record.slots and self._has_room(target, count)
        # What has not reported yet may be as busy as the others.
        is_known = self._loads.has_report(target.name)
        return is_idle and is_known and self._loads.get_pressure(target.name) < limit

    def _take(self, target: Target, now: float) -> bool:
        """Take a request of a target's rate, where that is bounded."""
        if not self._rates.take(target, now, self.settings):
            return False
        self._chosen_at[target.name] = now
        return True

    def list_in_use(self, now: float) -> list[str]:
        """List the targets that were chosen lately."""
        return [name for name, at in self._chosen_at.items() if now - at <= IN_USE_S]

    def _count(self, target: Target, now: float) -> float:
        """Estimate the requests on a target."""
        return self.in_flight[target.name] + self._loads.estimate_others(target.name, now)

    def list_out(self, now: float) -> list[TargetOut]:
        """List the targets that get no requests, or few, for operators to look at."""
        found = []
        for target in self._catalog.list_targets():
            reason = self._find_reason_out(target, now)
            if reason:
                found.append(TargetOut(target.name, target.record.service, reason))
        return found

    def _find_reason_out(self, target: Target, now: float) -> str:
        """Return why a target gets no requests, or few; empty where it gets its share."""
        if target.is_draining:
            return "draining"
        if target.record.hall in self._catalog.evacuated:
            return "hall evacuated"
        if target.name in self._catalog.lapsed:
            return "record lapsed"
        if self._outliers.is_ejected(target.name, now):
            return "ejected"
        if self.rests.find_wait(target.start, now) > 0:
            return "asked for rest"
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
        self._rates.forget(target)
        self._chosen_at.pop(target, None)

    def _iter_candidates(
        self, order: Sequence[Target], now: float, tried: Collection[str], passed: Counter[str]
    ) -> Iterator[Target]:
        """Return the targets worth trying, in order; doubtful ones only where there is no other.

        Most choices take one of the first two, so that the others are not looked at: a known key's
        choice does not grow with the number of targets.
        """
        doubtful = self._list_doubtful(now)
        is_widespread = False
        if doubtful:
            # Where most look broken, the measurement is more likely wrong than the targets.
            count = sum(target.name in doubtful for target in order)
            is_widespread = count > self.settings.ejected_share * len(order)
        out = {*doubtful, *self.rests.list_resting(now)} if self.rests else doubtful
        if not is_widespread and self.settings.region_fill > 0 and order[0].name in out:
            order = self.orders.replace_first(order, out)
        put_off: list[Target] = []
        has_sound = False
        for target in order:
            if target.name in tried:
                passed["tried"] += 1
            elif target.name in doubtful:
                passed[doubtful[target.name]] += 1
                if is_widespread:
                    yield target
                else:
                    put_off.append(target)
            elif reason := self._rates.find_reason_against(target, now, self.settings):
                # It must not stand for one of the key's own targets: those that served the key
                # before it came back are next, and warm; requests would be refused beside them.
                passed[reason] += 1
            else:
                has_sound = True
                yield target
        if not has_sound and not is_widespread:
            yield from put_off

    def _number(
        self, first: Target, candidates: Iterator[Target], tried: Collection[str]
    ) -> Iterator[tuple[int, Target]]:
        """Return candidates with their places, from 0.

        Where a key's near first target is out, a far one does not stand for it: what waits there
        makes that region's callers late too.
        """
        place = 0
        for target in candidates:
            if not place and target is not first and first.name not in tried:
                is_far = self.orders.is_far(target.record.hall)
                place = int(is_far and not self.orders.is_far(first.record.hall))
            yield place, target
            place += 1

    def _list_doubtful(self, now: float) -> Mapping[str, str]:
        """Return the targets that are left alone for now, and why."""
        doubtful = dict.fromkeys(self._catalog.lapsed, "lapsed")
        doubtful.update(dict.fromkeys(self._outliers.list_ejected(now), "ejected"))
        return doubtful

    def _has_room(self, target: Target, count: float) -> bool:
        """Check whether a target has room, by own counts and by what it reported."""
        own = self.in_flight[target.name]
        if own and self._outliers.is_on_trial(target.name):
            return False
        if not self._loads.has_report(target.name):
            return own < self._bound(target)
        return count < self.settings.full_load * target.record.slots

    def _bound(self, target: Target) -> int:
        """Return the requests that this entry may have on a target.

        The shares of all entries add up to the whole, as long as each has at least one.
        """
        total = round(self.settings.load_factor * target.record.slots)
        whole, rest = divmod(total, self._catalog.count_members())
        if not whole:
            # One at least, whatever the rank: ranking this entry in a large fleet for each target
            # that has not reported would take half of its processor time at the fleet's start.
            return 1
        return max(1, whole + (1 if self._ranks.get_rank(target.name) < rest else 0))


def name_kind(service: str, route: Route) -> str:
    """Name a kind of request, for which targets work alike."""
    return f"{service}/{route.name}"
