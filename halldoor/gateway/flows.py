"""Counts of this entry's requests by region, and a log line when traffic moves between regions."""

from __future__ import annotations

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.choice import Choice
from halldoor.core.targets.order import KeyOrders
from halldoor.core.targets.regionflow import RegionFlow, RunReason
from halldoor.core.targets.route import Route
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics


class RegionFlowCounter:
    """Counter of sent requests by region.

    Parameters
    ----------
    own_region : str
        Region of this entry and of most of its callers.
    orders : KeyOrders
        Provides the current region of each hall, which settings may change.
    catalog : Catalog
        Provides the configuration version and the time of the last contact with the store.
    """

    def __init__(
        self,
        own_region: str,
        orders: KeyOrders,
        catalog: Catalog,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._own_region = own_region
        self._orders = orders
        self._catalog = catalog
        self._log = log
        self._metrics = metrics
        self._flow = RegionFlow()

    def add(self, route: Route, choice: Choice, now: float, *, is_retry: bool) -> None:
        """Count a request that is sent to a target, and log a large move between regions."""
        region = self._orders.regions.get(choice.target.record.hall, "")
        reason = self._find_reason(route, region, choice.place, is_retry=is_retry)
        self._metrics.add_region_request(self._own_region, region, reason.value)
        move = self._flow.add(region, reason, now)
        if move is None:
            return
        self._log.event(
            "flow",
            "Moved between regions.",
            origin=self._own_region,
            moved=round(move.part, 2),
            before=move.before,
            after=move.after,
            reason=move.reason.value,
            version=self._catalog.configuration_version,
            store_age_ms=round((now - self._catalog.store_contact_at) * 1000),
        )

    def _find_reason(
        self, route: Route, region: str, position: int, *, is_retry: bool
    ) -> RunReason:
        """Return why a request runs in the target's region."""
        if region == self._own_region:
            return RunReason.NEAR
        if route.home_regions and self._own_region not in route.home_regions:
            return RunReason.HOME
        if is_retry:
            return RunReason.RETRIED
        return RunReason.SPILLED if position else RunReason.FIRST
