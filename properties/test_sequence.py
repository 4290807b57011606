"""Laws of the order of configurations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import RoutingSeen
from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.targets.sequence import RoutingSequence
from halldoor.core.targets.timings import CatalogTimings
from halldoor.core.targets.withdrawal import StoreView

VERSIONS = st.lists(st.integers(1, 9) | st.just(2**63 - 1), min_size=1, max_size=8)


def build_seen(version: int) -> RoutingSeen:
    """Build the change of a configuration."""
    return RoutingSeen(Routing(version, (), {}, CallerLimits()))


@given(VERSIONS, st.data())
def test_last_configuration_is_in_force_whatever_the_batches(versions, data):
    """A read at any revision, and events from any earlier one in batches of any size."""
    catalog, sequence = Catalog(CatalogTimings()), RoutingSequence()
    # Revision i + 1 of the store writes the i-th version; the page is newer than the read's view.
    page = data.draw(st.integers(1, len(versions)))
    begun = data.draw(st.integers(0, page))
    seen = sequence.mark_read(
        [build_seen(versions[page - 1])], StoreView("1", begun), newest=page, in_force=None
    )
    catalog.apply_full_read(seen, 0.0)
    revision = begun
    while revision < len(versions):
        until = data.draw(st.integers(revision + 1, len(versions)))
        events = [build_seen(version) for version in versions[revision:until]]
        for change in sequence.mark_events(events, until):
            catalog.apply(change, 0.0)
        revision = until
        if revision >= page:
            assert catalog.configuration_version == versions[revision - 1]
    assert catalog.configuration_version == versions[-1]


@given(VERSIONS.map(sorted), st.data())
def test_repeated_events_take_no_configuration_back(versions, data):
    """Events that a full read contains already are older than the configuration in force."""
    catalog, sequence = Catalog(CatalogTimings()), RoutingSequence()
    seen = sequence.mark_read(
        [build_seen(versions[-1])], StoreView("1", 0), newest=len(versions), in_force=None
    )
    catalog.apply_full_read(seen, 0.0)
    revision = 0
    while revision < len(versions):
        until = data.draw(st.integers(revision + 1, len(versions)))
        events = [build_seen(version) for version in versions[revision:until]]
        for change in sequence.mark_events(events, until):
            assert not catalog.apply(change, 0.0)
        revision = until
