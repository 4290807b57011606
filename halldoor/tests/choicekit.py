"""A chooser with a catalog of its own, for tests of the choice of targets."""

from __future__ import annotations

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import (
    MemberRecord,
    MemberSeen,
    RoutingSeen,
    TargetRecord,
    TargetSeen,
)
from halldoor.core.targets.choice import Chooser, NoTarget
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

SERVICE = TargetService("deck", "/health", 390, cold_start_s=3.0, cold_rate_per_s=9.0)
TICK_S = 0.1
REGIONS = {"ams-a": "ams", "grq-a": "grq"}


def make_route(**changes):
    route = Route(
        name="r1",
        host="decks.example",
        path_prefix="/",
        kind=RequestKind.REPEATABLE,
        parts=(SplitPart("deck", 1.0),),
        timeout_s=0.8,
        aim_s=0.3,
        priority=1,
        max_attempts=2,
        has_affinity=True,
    )
    return route._replace(**changes)


def make_target(name, *, hall="ams-a", cold_left_s=0.0, is_draining=False):
    return TargetRecord(name, "deck", Address("127.0.0.1", 1), hall, 6, is_draining, cold_left_s)


def make_routing(version=1, routes=()):
    return Routing(version, tuple(routes) or (make_route(),), {"deck": SERVICE}, CallerLimits())


def make_catalog(targets=4, members=("e1",)):
    catalog = Catalog(CatalogTimings())
    catalog.apply(RoutingSeen(make_routing()), 0.0)
    for i in range(targets):
        hall = "ams-a" if i % 2 else "grq-a"
        catalog.apply(TargetSeen(make_target(f"t{i}", hall=hall)), 0.0)
    for name in members:
        catalog.apply(MemberSeen(MemberRecord(name, Address("127.0.0.1", 2), "ams-a", "ams")), 0.0)
    return catalog


def record_store_return(catalog, at, *, away_s=4.5):
    """Record the store's first answer after an outage of `away_s` that ends at a given time."""
    catalog.record_answer(at - away_s)
    for i in range(1, round(away_s / TICK_S)):
        catalog.contact.record_tick(at - away_s + i * TICK_S)
    catalog.record_answer(at)


class ChooserKit(Chooser):
    """A chooser whose `choose` returns only the target, with access to its tables."""

    def __init__(self, catalog, name="e1", *, own_hall="ams-a", **settings):
        self.outliers, self.loads, self.latency = OutlierTable(), LoadTable(), LatencyModel()
        super().__init__(
            catalog,
            self.outliers,
            self.loads,
            self.latency,
            own_name=name,
            own_hall=own_hall,
            own_region=REGIONS[own_hall],
            regions=REGIONS,
            settings=ChoiceSettings(**settings),
        )

    def choose(self, *request, **options):
        choice = super().choose(*request, **options)
        return choice if isinstance(choice, NoTarget) else choice.target

    def report_load(self, name, running, waiting=0, *, now=1.0, times=1):
        """Record a target's load report, repeated so that the average load follows."""
        for _ in range(times):
            self.loads.add(name, LoadReport(running, waiting, 6), now, own=0)

    def record_work_times(self, *, warm_s=0.1, cold_s=0.3, targets=("x",)):
        """Record answers from which the latency model estimates warm and cold work."""
        for target in targets:
            for i in range(40):
                for took_s in (cold_s, warm_s, warm_s):
                    self.latency.add_answer(
                        "deck/r1", target, "ams-a", f"l{i}", took_s=took_s, has_waited=False
                    )


make_chooser = ChooserKit
