"""Discrete-event simulation of a load pattern: callers, entries and targets in virtual time.

A pattern is data: a fleet, a request rate over time and faults.  The same seed gives the same
result.  Entries choose targets with the product's own `Chooser` and update its statistics from
answers as the gateway does; targets have slots, a queue, warm keys and report their load.  Sockets,
retries by callers and the store are left out: all entries see a changed target record at once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import (
    EvacuationSet,
    MemberRecord,
    MemberSeen,
    RoutingSeen,
    TargetRecord,
    TargetSeen,
)
from halldoor.core.targets.choice import Choice, Chooser, NoTarget, name_kind
from halldoor.core.targets.cost import JUST_STARTED_FACTOR
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.load import LoadReport, LoadTable
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.route import (
    CallerLimits,
    RequestKind,
    Route,
    Routing,
    SplitPart,
    TargetService,
)
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.standins.patterns import Evacuation, Pattern, Slowdown

ADDRESS = Address("127.0.0.1", 1)
SERVICE = "deck"
WORK_DEVIATION = 0.15
"""Largest deviation of a request's work time from its mean, as a share of the mean."""


class Run(NamedTuple):
    """A request that a target started: when, the caller's region and the target's region."""

    at_s: float
    origin: str
    region: str


class Tally(NamedTuple):
    """Counts of the requests by outcome.

    Attributes
    ----------
    in_aim, late, refused : Counter of int
        Requests by the second in which they arrived: answered within the route's aim, answered
        later, and refused.
    by_hall : Counter of (str, str)
        Requests by the callers' hall and the outcome.
    counts : Counter of str
        Requests by outcome, requests whose key was ``cold`` or ``warm`` at the target, and
        requests answered by another region (``far``).
    runs : list of Run
        Each request that a target started, ordered by time.
    """

    in_aim: Counter[int]
    late: Counter[int]
    refused: Counter[int]
    by_hall: Counter[tuple[str, str]]
    counts: Counter[str]
    runs: list[Run]

    def share_in_aim(self, since_s: float = 0.0, until_s: float = 1e9) -> float:
        """Return the share of requests arriving in a period that were answered within the aim."""
        seconds = [s for s in {*self.in_aim, *self.late, *self.refused} if since_s <= s < until_s]
        good = sum(self.in_aim[s] for s in seconds)
        return good / max(1, sum(self.in_aim[s] + self.late[s] + self.refused[s] for s in seconds))

    def share_of_hall(self, hall: str) -> float:
        """Return the share of a hall's requests that were answered within the aim."""
        count = sum(n for (h, _), n in self.by_hall.items() if h == hall)
        return self.by_hall[(hall, "in aim")] / max(1, count)


class _Request(NamedTuple):
    """A request that was sent to a target and is not yet answered."""

    key: str
    began_at: float
    entry: ModelEntry
    choice: Choice


class _Target:
    """A simulated target: slots, a queue and the keys in its cache (warm keys)."""

    def __init__(self, pattern: Pattern, name: str) -> None:
        self.pattern = pattern
        self.name = name
        self.running = 0
        self.waiting: deque[_Request] = deque()
        self.warm: OrderedDict[str, None] = OrderedDict()
        self.slowdowns: list[Slowdown] = []
        self.cold_until = 0.0

    def start_work(self, key: str, now: float, source: random.Random) -> tuple[float, bool]:
        """Start a request; return its work time in seconds and whether the key was warm."""
        is_warm = key in self.warm
        self.warm[key] = None
        self.warm.move_to_end(key)
        if len(self.warm) > self.pattern.warm_keys:
            self.warm.popitem(last=False)
        work_s = self.pattern.warm_s if is_warm else self.pattern.cold_s
        for slowdown in self.slowdowns:
            if slowdown.at_s <= now < slowdown.at_s + slowdown.for_s:
                work_s *= slowdown.factor
        if now < self.cold_until:
            work_s *= JUST_STARTED_FACTOR
        return work_s * source.uniform(1 - WORK_DEVIATION, 1 + WORK_DEVIATION), is_warm


class ModelEntry:
    """A simulated entry: the product's `Chooser` with its load, latency and outlier tables."""

    def __init__(self, pattern: Pattern, catalog: Catalog, name: str, hall: str) -> None:
        self.name, self.hall = name, hall
        self.region = pattern.halls[hall].region
        self.loads, self.latency, self.outliers = LoadTable(), LatencyModel(), OutlierTable()
        self.chooser = Chooser(
            catalog,
            self.outliers,
            self.loads,
            self.latency,
            own_name=name,
            own_hall=hall,
            own_region=self.region,
            regions={name: load.region for name, load in pattern.halls.items()},
            settings=ChoiceSettings(),
        )
        for other, load in pattern.halls.items():
            is_far = load.region != self.region
            self.latency.add_connect(other, pattern.far_s if is_far else pattern.near_s)


class Replay:
    """One simulation run of a pattern.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    adapt : callable, optional
        Function that changes each entry before the run, such as its settings.
    """

    def __init__(
        self, pattern: Pattern, *, seed: int, adapt: Callable[[ModelEntry], None] | None = None
    ) -> None:
        self._pattern = pattern
        self._source = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._catalog = Catalog(CatalogTimings())
        self._route = Route(
            name="r1",
            host="decks.example",
            path_prefix="/",
            kind=RequestKind.REPEATABLE,
            parts=(SplitPart(SERVICE, 1.0),),
            timeout_s=pattern.timeout_s,
            aim_s=pattern.aim_s,
            priority=1,
            max_attempts=2,
            has_affinity=True,
        )
        service = TargetService(
            SERVICE, "/health", 390, cold_start_s=0.0, cold_rate_per_s=pattern.cold_rate_per_s
        )
        routing = Routing(1, (self._route,), {SERVICE: service}, CallerLimits())
        self._catalog.apply(RoutingSeen(routing), 0.0)
        self._targets: dict[str, _Target] = {}
        self.entries: list[ModelEntry] = []
        self._weights: list[float] = []
        self._build(adapt)
        self.tally = Tally(Counter(), Counter(), Counter(), Counter(), Counter(), [])

    def _build(self, adapt: Callable[[ModelEntry], None] | None) -> None:
        """Build targets and entries; entries of a hall share their equal target orders."""
        pattern = self._pattern
        for hall, load in pattern.halls.items():
            for i in range(load.targets):
                name = f"t-{hall}-{i}"
                record = TargetRecord(name, SERVICE, ADDRESS, hall, pattern.slots, False, 0.0)
                self._catalog.apply(TargetSeen(record), 0.0)
                self._targets[name] = _Target(pattern, name)
            for i in range(load.entries):
                member = MemberRecord(f"e-{hall}-{i}", ADDRESS, hall, load.region, ADDRESS)
                self._catalog.apply(MemberSeen(member), 0.0)
        for slowdown in pattern.slowdowns:
            count = round(slowdown.share * len(self._targets))
            for name in self._source.sample(sorted(self._targets), count):
                self._targets[name].slowdowns.append(slowdown)
        for evacuation in pattern.evacuations:
            self._schedule(evacuation.at_s, partial(self._evacuate, evacuation))
            self._schedule(evacuation.until_s, partial(self._end_evacuation, evacuation))
        for hall, load in pattern.halls.items():
            first: ModelEntry | None = None
            for i in range(load.entries):
                entry = ModelEntry(pattern, self._catalog, f"e-{hall}-{i}", hall)
                if adapt is not None:
                    adapt(entry)
                if first is not None:
                    entry.chooser.orders = first.chooser.orders
                first = first or entry
                self.entries.append(entry)
                self._weights.append(load.callers / load.entries)

    def _evacuate(self, evacuation: Evacuation) -> None:
        """Evacuate a hall: its targets receive no new requests."""
        self._catalog.apply(EvacuationSet(evacuation.hall, True), self._now)

    def _end_evacuation(self, evacuation: Evacuation) -> None:
        """End the evacuation of a hall; its targets are cold and have no warm key."""
        for target in list(self._catalog.list_targets()):
            if target.record.hall == evacuation.hall:
                model = self._targets[target.name]
                model.cold_until = self._now + evacuation.cold_s
                model.warm.clear()
                record = target.record._replace(cold_left_s=evacuation.cold_s)
                self._catalog.apply(TargetSeen(record), self._now)
        self._catalog.apply(EvacuationSet(evacuation.hall, False), self._now)

    def run(self) -> Tally:
        """Run the simulation until no event is left, and return the counts."""
        self._schedule(self._draw_pause(), self._handle_arrival)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.tally

    def _schedule(self, after_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay in seconds."""
        heapq.heappush(self._events, (self._now + after_s, next(self._order), event))

    def _draw_pause(self) -> float:
        """Draw the time until the next request arrives, in seconds."""
        return self._source.expovariate(self._pattern.get_rate(self._now))

    def _handle_arrival(self) -> None:
        """Schedule the next arrival, and send this request through a randomly drawn entry."""
        pause_s = self._draw_pause()
        if self._now + pause_s < self._pattern.length_s:
            self._schedule(pause_s, self._handle_arrival)
        (entry,) = self._source.choices(self.entries, self._weights)
        key = f"{entry.region}-{self._source.randrange(self._pattern.keys)}"
        self._send(entry, key, self._now, tried=())

    def _send(
        self, entry: ModelEntry, key: str, began_at: float, *, tried: tuple[str, ...]
    ) -> None:
        """Choose a target and send the request to it, or count the request as refused."""
        choice = entry.chooser.choose(self._route, SERVICE, key, self._now, tried=tried)
        if isinstance(choice, NoTarget) or len(tried) >= self._route.max_attempts:
            self._count_outcome(entry, began_at, "refused")
            return
        name = choice.target.name
        entry.chooser.in_flight[name] += 1
        request = _Request(key, began_at, entry, choice)
        self._schedule(choice.estimate.travel_s / 2, lambda: self._reach_target(request, tried))

    def _reach_target(self, request: _Request, tried: tuple[str, ...]) -> None:
        """Start a request that reaches its target, queue it, or fail over if the queue is full."""
        target = self._targets[request.choice.target.name]
        if target.running < self._pattern.slots:
            self._start_work(target, request)
        elif len(target.waiting) < self._pattern.queue:
            target.waiting.append(request)
        else:
            entry = request.entry
            entry.chooser.in_flight[target.name] -= 1
            entry.outliers.add_shed(target.name, self._now)
            self._send(entry, request.key, request.began_at, tried=(*tried, target.name))

    def _start_work(self, target: _Target, request: _Request) -> None:
        """Start a request on a free slot of a target, and schedule its answer."""
        target.running += 1
        work_s, is_warm = target.start_work(request.key, self._now, self._source)
        self.tally.counts["warm" if is_warm else "cold"] += 1
        region = self._pattern.halls[request.choice.target.record.hall].region
        self.tally.runs.append(Run(self._now, request.entry.region, region))
        self._schedule(work_s, lambda: self._finish_work(target, request))

    def _finish_work(self, target: _Target, request: _Request) -> None:
        """Send the answer of a target, and start the next request of its queue."""
        report = LoadReport(target.running, len(target.waiting), self._pattern.slots)
        target.running -= 1
        self._schedule(
            request.choice.estimate.travel_s / 2, lambda: self._receive_answer(request, report)
        )
        if target.waiting:
            self._start_work(target, target.waiting.popleft())

    def _receive_answer(self, request: _Request, report: LoadReport) -> None:
        """Update the entry's statistics from an answer as the gateway does; count the request."""
        entry, choice = request.entry, request.choice
        name, hall = choice.target.name, choice.target.record.hall
        took_s = self._now - request.began_at
        self._record_answer(entry, request, report, took_s)
        entry.chooser.in_flight[name] -= 1
        if self._pattern.sharing_s is not None:
            self._schedule(
                self._pattern.sharing_s, lambda: self._share_answer(request, report, took_s)
            )
        entry.outliers.add_success(name, SERVICE, took_s, self._now)
        if self._pattern.halls[hall].region != entry.region:
            self.tally.counts["far"] += 1
        self._count_outcome(
            entry, request.began_at, "in aim" if took_s <= self._pattern.aim_s else "late"
        )

    def _share_answer(self, request: _Request, report: LoadReport, took_s: float) -> None:
        """Record an answer at the other entries of the hall, as observation messages do."""
        for entry in self.entries:
            if entry is not request.entry and entry.hall == request.entry.hall:
                self._record_answer(entry, request, report, took_s)

    def _record_answer(
        self, entry: ModelEntry, request: _Request, report: LoadReport, took_s: float
    ) -> None:
        """Record a target's reported load, response time and warm key at an entry."""
        target, estimate = request.choice.target, request.choice.estimate
        own = entry.chooser.in_flight[target.name]
        entry.loads.add(target.name, report, self._now, own=own, service=SERVICE)
        entry.latency.add_answer(
            name_kind(SERVICE, self._route),
            target.name,
            target.record.hall,
            request.key,
            took_s=took_s,
            has_waited=estimate.wait_s > 0,
        )

    def _count_outcome(self, entry: ModelEntry, began_at: float, outcome: str) -> None:
        """Count a finished request by its outcome."""
        by_second = {
            "in aim": self.tally.in_aim,
            "late": self.tally.late,
            "refused": self.tally.refused,
        }
        by_second[outcome][int(began_at)] += 1
        self.tally.by_hall[(entry.hall, outcome)] += 1
        self.tally.counts[outcome] += 1
