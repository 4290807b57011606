"""Choose the target of each request by the expected time to its answer.

Every entry of a region computes the same order of targets for a key.  The key's first target gets
its requests as long as it is expected to answer in time.  The second target helps out when it has
a free slot and answers sooner, even if it is cold for the key; other targets help only while they
are mostly idle.  This keeps keys warm, and overload doesn't spread a key over all targets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from itertools import islice
from typing import NamedTuple

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.cost import CostModel, Estimate
from halldoor.core.targets.excluded import ExcludedTarget, Exclusions
from halldoor.core.targets.latency import LatencyModel, WorkLevels
from halldoor.core.targets.limits import LimitTable
from halldoor.core.targets.load import LoadTable
from halldoor.core.targets.order import KeyOrders, OrderSettings
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.rates import EntryRanks, TargetRates
from halldoor.core.targets.rests import BackoffTable
from halldoor.core.targets.route import Route
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.targets.target import Target
from halldoor.core.targets.unproven import UnprovenTargets

IN_USE_S = 1.0
"""Time after the last request to a target for which it counts as in use, in seconds."""
AIM_SHARE = 0.9
"""Part of a route's aim to plan for; the remainder is the travel between caller and entry."""


class NoTarget(NamedTuple):
    """No target can take the request now.

    Attributes
    ----------
    reason : str
        Why no target was chosen, as a short fixed text.
    passed_over : Mapping of str to int
        Number of targets that were passed over, by reason.
    room_after_s : float
        Expected time until the first of the key's targets has a free slot, in seconds; 0 where it
        is not known.
    is_asked : bool
        Whether all targets requested a back-off; the time is then that until the first one ends.
    """

    reason: str
    passed_over: Mapping[str, int]
    room_after_s: float = 0.0
    is_asked: bool = False

    def __str__(self) -> str:
        counts = ",".join(f"{reason}={count}" for reason, count in self.passed_over.items())
        return f"{self.reason} {counts}".strip()


class Choice(NamedTuple):
    """The target chosen for a request, and its expected cost.

    Attributes
    ----------
    place : int
        Position of the target in the key's order, from 0, not counting targets passed over.
    """

    target: Target
    estimate: Estimate
    place: int


class Chooser:
    """Chooses targets and counts this entry's requests in flight on each.

    Parameters
    ----------
    catalog : Catalog
        The targets that this entry knows.
    outliers : OutlierTable
        Targets that are ejected because they fail or are slow.
    loads : LoadTable
        Load that the targets reported.
    latency : LatencyModel
        Observed travel and work times.
    own_name : str
        Name of this entry, for its rank among the entries that may send to a cold target.
    settings : ChoiceSettings
        Bounds of the choice.
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
        self.backoffs = BackoffTable()
        self.unproven = UnprovenTargets(catalog)
        self._exclusions = Exclusions(catalog, outliers, self.backoffs, self.unproven)
        self.in_flight: Counter[str] = Counter()
        self._rates = TargetRates(catalog, self._ranks, self.limits, self.backoffs, self.in_flight)
        self._chosen_at: dict[str, float] = {}

    def start(self, now: float) -> None:
        """Record the start of this entry, from which its shares of bounded rates are counted."""
        self._rates.start(now)

    def choose(
        self, route: Route, service: str, key: str, now: float, *, tried: Collection[str] = ()
    ) -> Choice | NoTarget:
        """Choose a target and, where its rate is bounded, use one request of this entry's share.

        Parameters
        ----------
        tried : collection of str, optional
            Targets that this request was already sent to.
        """
        settings = self.settings
        key = key if settings.uses_keys else ""
        fill = settings.region_shares.find_fill(route, self._find_far_travel())
        order_settings = OrderSettings(fill, settings.most_local, settings.max_shift)
        order = self.orders.get_order(route, service, key, now, settings=order_settings)
        if not order:
            return NoTarget("no target", {})
        passed: Counter[str] = Counter()
        withheld: list[Target] = []
        candidates = self._number_positions(
            order[0], self._iterate_candidates(order, now, tried, passed, withheld), tried
        )
        levels = self._costs.get_levels(name_kind(service, route))
        self._loads.update_decay(service, targets=len(order), work_s=levels.mean_s)
        own = islice(candidates, settings.spill_choices if key else None)
        estimated = [self._estimate(target, key, levels, place, now) for place, target in own]
        choices = []
        for choice in estimated:
            reason = self._find_refusal_reason(choice, key, route, levels)
            if reason:
                passed[reason] += 1
            else:
                choices.append(choice)
        if key and estimated:
            first_s = self._latency.get_travel(estimated[0].target.record.hall)
            choices.sort(key=lambda c: c.estimate.find_cost(least_travel_s=first_s))
        else:
            choices.sort(key=lambda c: c.estimate.cost_s)
        for choice in choices:
            if self._reserve_request(choice.target, now):
                return choice
            passed["rate"] += 1
        for place, target in candidates:
            if self._is_spare(target, now) and self._reserve_request(target, now):
                return self._estimate(target, key, levels, place, now)
        for target in withheld:
            choice = self._estimate(target, key, levels, len(order), now)
            has_slot = self._has_free_slot(target, choice.estimate.on_target)
            if has_slot and self._reserve_request(target, now):
                return choice
        backoff_s = self.find_backoff(order, now)
        if backoff_s > 0:
            return NoTarget("all rest", passed, backoff_s, is_asked=True)
        waits = [choice.estimate.wait_s for choice in estimated]
        waits = waits or [self._rates.find_wait(target, now) for target in order]
        return NoTarget("no room", passed, min((w for w in waits if w > 0), default=0.0))

    def find_backoff(self, targets: Sequence[Target], now: float) -> float:
        """Return the time until the first of some targets ends its back-off, in seconds.

        It is 0 if one of them has no back-off in force.
        """
        return min((self.backoffs.find_wait(target.start, now) for target in targets), default=0.0)

    def _find_far_travel(self) -> float | None:
        """Return the shortest round trip to another region, in seconds; None if unknown."""
        halls = [h for h in self._latency.list_measured_halls() if self.orders.is_far(h)]
        return min(map(self._latency.get_shortest_travel, halls), default=None)

    def _estimate(
        self, target: Target, key: str, levels: WorkLevels, position: int, now: float
    ) -> Choice:
        """Estimate a target's cost for a request."""
        estimate = self._costs.estimate(
            target,
            key,
            levels,
            on_target=self._estimate_in_flight(target, now),
            position=position,
            now=now,
            slowness=self._loads.get_slowness(target.name, now),
        )
        return Choice(target, estimate, position)

    def _find_refusal_reason(
        self, choice: Choice, key: str, route: Route, levels: WorkLevels
    ) -> str:
        """Return why a target can't take a request now; empty if it can."""
        target, estimate, place = choice
        if not self._has_free_slot(target, estimate.on_target):
            return "full"
        if key and place and estimate.wait_s > 0:
            # A request that waits there would delay the requests of the target's own keys.
            return "busy"
        limit = self.settings.wait_limit
        left_s = AIM_SHARE * route.aim_s - estimate.travel_s - levels.warm_s
        if limit and estimate.wait_s > limit * max(left_s, levels.warm_s):
            return "late"
        return ""

    def _is_spare(self, target: Target, now: float) -> bool:
        """Check whether a target beyond the key's own ones is mostly idle and may help out."""
        limit = self.settings.spare_load
        count = self._estimate_in_flight(target, now)
        is_idle = count < limit * target.record.slots and self._has_free_slot(target, count)
        # A target that has not reported its load yet may be as busy as the others.
        has_report = self._loads.has_report(target.name)
        return is_idle and has_report and self._loads.get_pressure(target.name) < limit

    def _reserve_request(self, target: Target, now: float) -> bool:
        """Use one request of this entry's share of a target's rate; False if none is left."""
        if not self._rates.reserve_request(target, now, self.settings):
            return False
        self._chosen_at[target.name] = now
        return True

    def list_in_use(self, now: float) -> list[str]:
        """List the targets that were chosen in the last `IN_USE_S` seconds."""
        return [name for name, at in self._chosen_at.items() if now - at <= IN_USE_S]

    def _estimate_in_flight(self, target: Target, now: float) -> float:
        """Estimate the requests on a target from all entries."""
        return self.in_flight[target.name] + self._loads.estimate_others(target.name, now)

    def list_excluded(self, now: float) -> list[ExcludedTarget]:
        """List the targets that get no requests, or fewer than their share, for operators."""
        return self._exclusions.list_targets(now)

    @contextmanager
    def count_in_flight(self, target: str) -> Iterator[None]:
        """Count a request as in flight on a target while the context is open."""
        self.in_flight[target] += 1
        found = self._catalog.find_target(target)
        if found is not None:
            self.unproven.start_trial(found)
        try:
            yield
        finally:
            if found is not None:
                self.unproven.end_trial(found)
            self.in_flight[target] -= 1
            if self.in_flight[target] <= 0:
                del self.in_flight[target]

    def forget(self, target: str) -> None:
        """Drop the counts of a target that was removed."""
        self._rates.forget(target)
        self.unproven.forget(target)
        self._chosen_at.pop(target, None)

    def _iterate_candidates(
        self,
        order: Sequence[Target],
        now: float,
        tried: Collection[str],
        passed: Counter[str],
        withheld: list[Target],
    ) -> Iterator[Target]:
        """Yield the targets that may be tried, in order; unhealthy ones only if there is no other.

        Unproven ones that are withheld are added to `withheld` instead.

        Most choices use one of the first two, and the others are not evaluated: the cost of a
        choice for a key whose order is cached does not grow with the number of targets.
        """
        unhealthy = self._list_unhealthy(now)
        is_widespread = False
        if unhealthy:
            # If most targets look broken, the measurement is more likely wrong than the targets.
            # Of one that never answered, the record is as likely wrong.
            known = [target for target in order if not self.unproven.has_failed(target)]
            count = sum(target.name in unhealthy for target in known)
            is_widespread = count > self.settings.ejected_share * len(known)
        excluded = {*unhealthy, *self.backoffs.list_backed_off(now)} if self.backoffs else unhealthy
        if not is_widespread and self.settings.region_fill > 0 and order[0].name in excluded:
            order = self.orders.substitute_first(order, excluded)
        postponed: list[Target] = []
        has_healthy = False
        for target in order:
            if target.name in tried:
                passed["tried"] += 1
            elif target.name in unhealthy:
                passed[unhealthy[target.name]] += 1
                if is_widespread:
                    yield target
                else:
                    postponed.append(target)
            elif reason := self._rates.find_refusal_reason(target, now, self.settings):
                # Such a target must not use up one of the key's positions: the targets that served
                # the key before this one returned are next, and warm.  Counting it would refuse
                # requests that they could serve.
                passed[reason] += 1
            elif self.unproven.is_withheld(target, now):
                passed["unproven"] += 1
                withheld.append(target)
            else:
                has_healthy = True
                yield target
        if not has_healthy and not is_widespread:
            yield from postponed

    def _number_positions(
        self, first: Target, candidates: Iterator[Target], tried: Collection[str]
    ) -> Iterator[tuple[int, Target]]:
        """Yield candidates with their positions in the key's order, from 0.

        If a key's first target is in the own region but excluded, a far target doesn't get
        position 0 in its stead: requests that wait there would delay that region's callers too.
        """
        place = 0
        for target in candidates:
            if not place and target is not first and first.name not in tried:
                is_far = self.orders.is_far(target.record.hall)
                place = int(is_far and not self.orders.is_far(first.record.hall))
            yield place, target
            place += 1

    def _list_unhealthy(self, now: float) -> Mapping[str, str]:
        """Return the targets that are avoided for now, with the reason."""
        unhealthy = dict.fromkeys(self._catalog.lapsed, "lapsed")
        unhealthy.update(dict.fromkeys(self._outliers.list_ejected(now), "ejected"))
        return unhealthy

    def _has_free_slot(self, target: Target, count: float) -> bool:
        """Check whether a target has a free slot, by this entry's counts and its reports."""
        own = self.in_flight[target.name]
        if own and self._outliers.is_on_trial(target.name):
            return False
        if not self._loads.has_report(target.name):
            return own < self._find_in_flight_limit(target)
        return count < self.settings.full_load * target.record.slots

    def _find_in_flight_limit(self, target: Target) -> int:
        """Return the requests that this entry may have on a target that never reported its load.

        The shares of all entries add up to the target's limit, unless it is below one per entry.
        """
        total = round(self.settings.load_factor * target.record.slots)
        whole, remainder = divmod(total, self._catalog.count_members())
        if not whole:
            # At least one, whatever the rank: ranking this entry in a large fleet for each target
            # that has not reported would take half of its processor time at the fleet's start.
            return 1
        return max(1, whole + (1 if self._ranks.get_rank(target.name) < remainder else 0))


def name_kind(service: str, route: Route) -> str:
    """Return the name of a kind of request: those of one service and route take similar work."""
    return f"{service}/{route.name}"
