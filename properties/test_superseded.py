"""Laws of the records that are left out because later ones of the same answer supersede them."""

from __future__ import annotations

from typing import cast

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.sequence import RoutingSequence
from halldoor.core.targets.timings import CatalogTimings
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.decoder import RecordDecoder
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.handover import RecordSet
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.plain import ROUTING_KEY, TARGET_PREFIX, PlainCodec, TargetModel
from halldoor.gateway.polls import Update
from halldoor.gateway.publishing import ChangePublisher
from halldoor.gateway.store import Events, StoredItem
from halldoor.standins.modelentry import CountingLog


def build_routing(version: int) -> StoredItem:
    """Build the record of a configuration."""
    data = {"version": version, "routes": [], "services": []}
    return StoredItem(ROUTING_KEY, msgspec.json.encode(data))


def build_target(number: int, is_draining: bool) -> StoredItem:
    """Build a target's record."""
    model = TargetModel(
        service="deck", address=Address("10.0.0.1", 9), hall="h0", slots=2, is_draining=is_draining
    )
    return StoredItem(f"{TARGET_PREFIX}t{number}", msgspec.json.encode(model))


ITEMS = st.lists(
    st.integers(1, 5).map(build_routing)
    | st.sampled_from([StoredItem(ROUTING_KEY, b"{"), StoredItem(ROUTING_KEY, None)])
    | st.builds(build_target, st.integers(0, 1), st.booleans())
    | st.integers(0, 1).map(lambda number: StoredItem(f"{TARGET_PREFIX}t{number}", None)),
    max_size=8,
)


class Entry:
    """What an entry holds after some answers of the store."""

    def __init__(self) -> None:
        self.catalog = Catalog(CatalogTimings())
        self.sequence = RoutingSequence()
        self.sequence.mark_read([], StoreView("1", 0), newest=0, in_force=None)
        self.decoder = RecordDecoder(
            PlainCodec(),
            log=cast(EventLog, CountingLog()),
            metrics=GatewayMetrics(),
            get_version=lambda: self.catalog.configuration_version,
        )

    def apply(self, answers: list[list[StoredItem]], revision: int) -> None:
        """Apply the records of an update, of which each part is decoded by itself."""
        changes = [change for items in answers for change in self.decoder.decode_all(items)]
        for change in self.sequence.mark_events(changes, revision):
            self.catalog.apply(change, 0.0)

    @property
    def state(self) -> object:
        """Configuration and targets."""
        targets = {t.name: t.is_draining for t in self.catalog.list_targets()}
        return self.catalog.configuration_version, self.catalog.has_rejected_routing, targets


@given(st.lists(ITEMS, max_size=4))
def test_superseded_configurations_change_nothing(updates):
    """An entry that decodes all configurations of each answer ends in the same state."""
    all_decoded, last_decoded = Entry(), Entry()
    for revision, items in enumerate(updates, 1):
        all_decoded.apply([[item] for item in items], revision)
        last_decoded.apply([items], revision)
        assert last_decoded.state == all_decoded.state


@given(st.lists(ITEMS, min_size=1, max_size=6), st.data())
def test_follower_from_any_revision_reaches_the_state_of_its_reader(updates, data):
    """Whatever its reader left out: removals, drains and rejected configurations included."""
    reader, follower = Entry(), Entry()
    publisher = ChangePublisher(
        reader.catalog,
        metrics=GatewayMetrics(),
        get_settings=RelaySettings,
        has_contact=lambda: True,
        is_receiving=lambda: False,
        routing_key=ROUTING_KEY,
    )
    publisher.reset_records(RecordSet([], 0, "1", 0.0))
    reached = 0
    for revision, items in enumerate(updates, 1):
        reader.apply([items], revision)
        publisher.record_update(revision - 1, Update(Events(items, revision), 0.0))
        if data.draw(st.booleans()) or revision == len(updates):
            batch = publisher._history.collect(reached)
            assert batch is not None and batch.revision == revision
            follower.apply([list(batch.items)], reached := revision)
            assert follower.state == reader.state
            configurations = [item.value for item in batch.items if item.key == ROUTING_KEY]
            assert reader.catalog.has_rejected_routing or sum(map(bool, configurations)) <= 1
