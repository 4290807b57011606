"""Laws of final refusals: which routes an entry may call unknown, and which it may still serve."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import Change, RoutingSeen
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.targets.split import Splitter
from halldoor.core.targets.timings import CatalogTimings
from halldoor.core.targets.withdrawal import StoreView
from halldoor.core.teams.admission import AccessSettings, AdmittedRequest
from halldoor.core.teams.gate import QuotaGate
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.callerrequest import Head
from halldoor.gateway.handover import RecordSet
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.polls import Update
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.store import Events, MetadataStore, RecordCodec, StoredItem
from halldoor.gateway.sync import StoreSync
from halldoor.tests.choicekit import SERVICE, make_route

STALE_S = 3.0
PATHS = ("/a/", "/b/", "/c/")
ROUTINGS: list[Routing] = []
"""Configurations of all stores."""
LOOP = asyncio.new_event_loop()


def build_routing(version: int, paths: frozenset[str]) -> Routing:
    """Build a configuration with a route for each path."""
    routes = tuple(make_route(name=path, path_prefix=path) for path in sorted(paths))
    return Routing(version, routes, {"deck": SERVICE}, CallerLimits())


class Store:
    """A store that holds configurations, with the time at which each revision was written.

    Attributes
    ----------
    written : list of tuple of float, Routing or None
        Time of each revision of this copy, and its configuration; None for other records.
    restored : int
        Revision with which this copy began.
    spans : list of tuple of float, float, Routing
        Times from which and until which each configuration may have been in force.
    """

    def __init__(self) -> None:
        self.era = self.restored = 0
        self.now = 0.0
        self.written: list[tuple[float, Routing | None]] = []
        self.spans: list[tuple[float, float, Routing]] = []
        self.highest = 0

    @property
    def revision(self) -> int:
        """Newest revision."""
        return len(self.written)

    def write(self, paths: frozenset[str], version: int) -> None:
        """Write a configuration, which replaces all that may be in force."""
        routing = build_routing(version, paths)
        self.highest = max(self.highest, version)
        self.written.append((self.now, routing))
        self.spans = [(since, min(until, self.now), r) for since, until, r in self.spans]
        self.spans.append((self.now, math.inf, routing))

    def restore(self, revision: int) -> None:
        """Restore a copy; its configuration and those before may be in force until the next."""
        self.era += 1
        self.restored = revision
        self.written = [(self.now, routing) for _, routing in self.written[:revision]]
        routing = self.find_routing(revision)
        if routing is not None:
            self.spans.append((self.now, math.inf, routing))

    def find_routing(self, revision: int) -> Routing | None:
        """Return the configuration as of a revision."""
        known = [routing for _, routing in self.written[:revision] if routing is not None]
        return known[-1] if known else None

    def find_proof(self, revision: int) -> float:
        """Return the last moment at which a revision was the newest."""
        return self.written[revision][0] if revision < self.revision else self.now

    def list_in_force(self) -> list[frozenset[str]]:
        """Return the paths of the configurations that may be in force within the last `STALE_S`."""
        since = self.now - STALE_S
        return [frozenset(r.name for r in x.routes) for _, until, x in self.spans if until >= since]


class Codec:
    """Decoder of configurations, which the test's records hold by their place in `ROUTINGS`."""

    routing_key = "routing"

    def decode(self, item: StoredItem) -> Change:
        assert item.value is not None
        return RoutingSeen(ROUTINGS[int(item.value)])


def encode_routing(routing: Routing) -> StoredItem:
    """Return the record of a configuration."""
    ROUTINGS.append(routing)
    return StoredItem(Codec.routing_key, b"%d" % (len(ROUTINGS) - 1))


class Feed:
    """Source of the updates of one entry."""

    def __init__(self) -> None:
        self.settings = RelaySettings()
        self.random = Random(1)
        self.update: Update | None = None

    async def wait(self, revision: int) -> Update:
        assert self.update is not None
        return self.update

    async def pause(self) -> None: ...

    def reset_records(self, records: RecordSet) -> None: ...

    def record_update(self, after: int, update: Update) -> None: ...


class Entry:
    """An entry's view of the store, kept by the product's task, and its admission of requests."""

    def __init__(self) -> None:
        self.catalog = Catalog(CatalogTimings())
        self.feed = Feed()
        self.metrics = mock.MagicMock()
        self.sync = StoreSync(
            cast(MetadataStore, SimpleNamespace(era="")),
            cast(RecordCodec, Codec()),
            self.catalog,
            log=mock.MagicMock(),
            metrics=self.metrics,
            on_change=lambda _: None,
            feed=cast(ChangeFeed, self.feed),
        )
        self.access = CallerAccess(
            self.catalog,
            QuotaGate("e1", 1, Random(1).random),
            Splitter(),
            names=HeaderNames(),
            settings=AccessSettings(stale_s=STALE_S),
            is_confirming=lambda: False,
        )

    @property
    def view(self) -> StoreView:
        """Era and revision of the entry's state."""
        return self.sync.view

    @property
    def is_watching(self) -> bool:
        """Whether the entry waits for events, rather than for a full read."""
        return self.sync._revision is not None

    def read(self, store: Store, revisions: list[int]) -> None:
        """Read all records: the oldest page, that of the configuration and the newest one."""
        begun, page, newest = revisions
        routing = store.find_routing(page)
        items = [] if routing is None else [encode_routing(routing)]
        proven_at = store.find_proof(begun)

        async def apply() -> None:
            records = RecordSet(items, begun, str(store.era), proven_at, newest=newest)
            self.sync._apply_records(records)

        self._run(apply())

    def apply_events(self, store: Store, until: int) -> None:
        """Apply the events up to a revision, as a watch or another entry sends them."""
        revision = self.view.revision
        written = store.written[revision:until]
        items = [encode_routing(routing) for _, routing in written if routing is not None]
        self.feed.update = Update(Events(items, until), store.find_proof(until))
        self._run(self.sync._watch(revision))

    def _run(self, step: Coroutine[Any, Any, None]) -> None:
        """Run a step of the entry's task, in which nothing may fail."""
        LOOP.run_until_complete(step)
        self.metrics.add_task_failure.assert_not_called()
        self.metrics.add_unreadable_record.assert_not_called()

    def ask(self, path: str, now: float) -> int:
        """Return the status for a request; 200 if it is admitted."""
        head = Head(b"GET", path.encode(), [(b"host", b"decks.example")], now)
        admission = self.access.admit(head, now)
        return 200 if isinstance(admission, AdmittedRequest) else admission.status


STEPS = ("write", "write lower", "record", "restore", "wait", "read", "events", "ask", "restart")


@settings(max_examples=400)
@given(st.data())
def test_routes_of_all_configurations_in_question_are_served(data):
    """Any order of configurations, restores, reads, events, confirmations and restarts.

    A version that operators write to a restored copy is above all earlier ones.
    """
    store, entry, is_restored = Store(), Entry(), False
    paths = st.frozensets(st.sampled_from(PATHS), min_size=1)
    store.write(data.draw(paths), 1)
    for step in data.draw(st.lists(st.sampled_from(STEPS), min_size=3, max_size=25)):
        is_followed = entry.view.era == str(store.era)
        if step == "write" or (step == "write lower" and is_restored):
            store.write(data.draw(paths), store.highest + data.draw(st.integers(1, 3)))
            is_restored = False
        elif step == "write lower":
            store.write(data.draw(paths), data.draw(st.integers(1, store.highest)))
        elif step == "record":
            store.written.append((store.now, None))
        elif step == "restore":
            store.restore(data.draw(st.integers(1, store.revision)))
            entry.catalog.proof.withdraw()
            is_restored = True
        elif step == "wait":
            store.now += data.draw(st.sampled_from([0.5, 1.0, 2.5, 4.0]))
        elif step == "read":
            oldest = entry.view.revision if is_followed else store.restored
            revisions = st.integers(oldest, store.revision)
            drawn = st.lists(revisions, min_size=3, max_size=3)
            entry.read(store, sorted(data.draw(drawn)))
        elif (
            step == "events"
            and is_followed
            and entry.is_watching
            and entry.view.revision < store.revision
        ):
            until = st.integers(entry.view.revision + 1, store.revision)
            entry.apply_events(store, data.draw(until))
        elif step == "ask":
            view = StoreView(str(store.era), store.revision)
            entry.catalog.proof.record_revision(view, store.now)
        elif step == "restart":
            entry = Entry()
        assert_law(store, entry)


def assert_law(store: Store, entry: Entry) -> None:
    """Assert that a route is unknown only if a configuration in question lacks it.

    And that none is served that all of them lack, unless the entry's state is old.
    """
    in_force = store.list_in_force()
    is_proven = store.now - entry.catalog.proof.proven_at <= STALE_S
    for path in PATHS:
        status = entry.ask(path, store.now)
        if all(path in known for known in in_force):
            assert status != 404
        if is_proven and not any(path in known for known in in_force):
            assert status != 200


def test_repeated_events_prove_nothing_until_all_are_repeated():
    """Until then a configuration with a version that was too large may replace its successor."""
    store, entry = Store(), Entry()
    store.write(frozenset({"/a/"}), 1)
    store.write(frozenset({"/b/"}), 9)
    store.now = 1.0
    store.write(frozenset({"/a/"}), 5)
    store.now = 5.0
    store.written.append((store.now, None))
    entry.read(store, [1, 3, 4])
    for until in (2, 3, 4):
        assert_law(store, entry)
        entry.apply_events(store, until)
    assert_law(store, entry)
    assert entry.ask("/a/", store.now) == 200
