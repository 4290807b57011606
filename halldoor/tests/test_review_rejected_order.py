"""A rejected configuration among the events that a full read may contain already."""

from __future__ import annotations

from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import RoutingRejected, RoutingSeen
from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.targets.sequence import RoutingSequence
from halldoor.core.targets.withdrawal import StoreView


def test_repeated_event_hides_that_a_later_configuration_was_rejected():
    """The entry refuses as if the configuration before were the store's last: 404."""
    catalog, sequence = Catalog(CatalogTimings()), RoutingSequence()
    before = RoutingSeen(Routing(3, (), {}, CallerLimits()))

    def apply(changes):
        for change in changes:
            catalog.apply(change, 0.0)

    view = StoreView("", 98)
    apply(sequence.mark_read([RoutingRejected()], view, newest=100, in_force=None))
    assert catalog.has_rejected_routing
    apply(sequence.mark_events([before, RoutingRejected()], 99))
    assert catalog.has_rejected_routing
    apply(sequence.mark_events([], 100))
    assert catalog.has_rejected_routing
