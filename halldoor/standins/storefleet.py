"""Entries that keep in step with one store, in virtual time: the product's own tasks for it.

A model for tests and measurements: each entry has the tasks that read the store, follow a reader
and keep it registered; calls and messages take a time, and nothing of callers' requests is there.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any, cast

import msgspec

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import MemberGone, MemberRecord
from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.httpclient import HttpAnswer, HttpCallError, HttpClient
from halldoor.gateway.maintenance import Maintenance
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.plain import PlainCodec, TargetModel
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.registration import Registration
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.store import Events, Lease, MetadataStore, Page, StoreError
from halldoor.gateway.sync import StoreSync
from halldoor.standins.memorystore import MemoryStore, StoreCopy

TRAVEL_S = 0.004
"""Time of a message on its way, in seconds."""
PAGE_ITEMS = 500
"""Items on a page of the store."""
IP = "10.0.0.1"


class NoLog:
    """A log that counts what it is told."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, part: str, text: str, **fields: Any) -> None:
        """Count an event."""
        self.counts[f"{part}: {text}"] += 1


class StoreLink(MetadataStore):
    """One entry's way to the store; calls take time, and are counted by kind."""

    def __init__(self, fleet: StoreFleet) -> None:
        self._fleet = fleet
        self.is_cut = False

    async def _reach(self, kind: str) -> MemoryStore:
        """Reach the store."""
        self._fleet.calls.append((_now(), kind))
        await asyncio.sleep(TRAVEL_S)
        if self.is_cut:
            raise StoreError("Cut off.", remedy="Mend the link.")
        return self._fleet.store

    async def _return(self, store: MemoryStore) -> None:
        """Bring an answer back."""
        era = store.era
        await asyncio.sleep(TRAVEL_S)
        self.era = era

    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Read a page."""
        store = await self._reach("range")
        page = await store.read_range(prefix, after=after)
        await self._return(store)
        return page

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait for changes."""
        store = await self._reach("watch")
        try:
            return await store.watch(prefix, after=after, wait_s=wait_s)
        finally:
            await self._return(store)

    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Write a key under a lease."""
        store = await self._reach("write")
        await self._return(store)
        await store.write(key, value, lease=lease)

    async def claim(self, key: str, *, lease: str) -> bool:
        """Write a key unless it is there."""
        store = await self._reach("write")
        await self._return(store)
        return await store.claim(key, lease=lease)

    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        store = await self._reach("lease")
        await self._return(store)
        return await store.create_lease(ttl_s)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease; its price is a tenth of another call's."""
        store = await self._reach("renewal")
        await self._return(store)
        await store.renew_lease(lease)

    async def end_lease(self, lease: str) -> None:
        """End a lease."""
        store = await self._reach("lease")
        await store.end_lease(lease)


class _Caller:
    """The side of a poll that takes the answer."""

    def __init__(self) -> None:
        self.answer = Answer(500, [])

    def send(self, answer: Answer) -> None:
        """Take the answer."""
        self.answer = answer


class ModelClient:
    """A client of another entry."""

    def __init__(self, fleet: StoreFleet, address: Address) -> None:
        self._fleet = fleet
        self._address = address

    async def call(
        self, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> HttpAnswer:
        """Make one call."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target)
        except TimeoutError:
            raise HttpCallError("no answer in time") from None

    async def _call(self, method: str, target: str) -> HttpAnswer:
        """Reach the other entry, if it is up."""
        await asyncio.sleep(TRAVEL_S)
        entry = self._fleet.entries.get(self._address.port)
        if entry is None or not entry.tasks:
            raise HttpCallError("connection refused")
        caller = _Caller()
        head = Head(method.encode(), target.encode(), [], _now())
        await entry.feed.answer(cast(CallerConnection, caller), head)
        self._fleet.handed_bytes += len(caller.answer.body)
        await asyncio.sleep(TRAVEL_S)
        return HttpAnswer(caller.answer.status, caller.answer.body)

    def close(self) -> None:
        """Close the connection."""


class ModelEntry:
    """The parts of an entry that keep it in step with the store."""

    def __init__(self, fleet: StoreFleet, member: MemberRecord) -> None:
        self.link = StoreLink(fleet)
        self.events = NoLog()
        log = cast(EventLog, self.events)
        self.catalog = Catalog(CatalogTimings(young_s=0.0))
        codec, metrics = PlainCodec(), GatewayMetrics()
        self.feed = ChangeFeed(
            self.link,
            member,
            self.catalog,
            settings=fleet.settings,
            batch_s=0.6,
            log=log,
            metrics=metrics,
            open_client=lambda address: cast(HttpClient, ModelClient(fleet, address)),
        )
        self.sync = StoreSync(
            self.link,
            codec,
            self.catalog,
            log=log,
            metrics=metrics,
            on_change=self._note_change,
            feed=self.feed,
        )
        self._name = member.name
        self.registration = Registration(
            self.link,
            codec,
            member,
            log=log,
            metrics=metrics,
            is_loaded=self.sync.is_loaded,
            on_contact=lambda: self.catalog.note_answer(_now()),
            on_return=self.sync.restart,
        )
        self.maintenance = Maintenance(
            self.catalog,
            TargetPool(),
            on_change=self._note_change,
            on_stall=lambda: self.sync.confirm("the process stood still"),
            log=log,
        )
        self.tasks: list[asyncio.Task[None]] = []

    def _note_change(self, change: object) -> None:
        """Write the own record again where it is gone."""
        if isinstance(change, MemberGone) and change.name == self._name:
            self.registration.note_gone()

    def start(self) -> None:
        """Start the tasks."""
        parts = (self.sync.run(), self.registration.run(), self.maintenance.run())
        self.tasks = [asyncio.ensure_future(part) for part in parts]

    def stop(self) -> None:
        """End the tasks at once, as a killed process does."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []


class StoreFleet:
    """Entries of several halls, targets and a store.

    Parameters
    ----------
    entries, halls, targets : int
        How many there are.
    page_items : int, optional
        Items on a page of the store.

    Attributes
    ----------
    calls : list of tuple of float and str
        Calls to the store: when, and of which kind.
    handed_bytes : int
        Bytes that entries answered each other.
    """

    def __init__(
        self, *, entries: int, halls: int, targets: int, page_items: int = PAGE_ITEMS, seed: int = 1
    ) -> None:
        self.store = MemoryStore(page_items=page_items)
        self.store.era = "0"
        self.settings = RelaySettings()
        self.calls: list[tuple[float, str]] = []
        self.handed_bytes = 0
        self._random = Random(seed)
        for i in range(targets):
            self.write_target(i, f"h{i % halls}")
        self.entries: dict[int, ModelEntry] = {}
        self._members = {
            port: MemberRecord(
                f"e{port}", Address(IP, port), f"h{port % halls}", "r", Address(IP, port)
            )
            for port in range(1, entries + 1)
        }

    def configure(self, version: int) -> None:
        """Write a version of the configuration."""
        data = {"version": version, "routes": [], "services": []}
        self.store.put("routing", msgspec.json.encode(data))

    def write_target(self, number: int, hall: str) -> None:
        """Write a target's record."""
        model = TargetModel(service="deck", address=Address(IP, 9), hall=hall, slots=6)
        self.store.put(f"targets/t{number:05}", msgspec.json.encode(model))

    async def start(self, *, within_s: float) -> None:
        """Start every entry anew, at moments within a time."""
        for port, member in self._members.items():
            if port in self.entries:
                self.entries[port].stop()
            self.entries[port] = ModelEntry(self, member)
        loop = asyncio.get_running_loop()
        for entry in self.entries.values():
            loop.call_later(self._random.uniform(0.0, within_s), entry.start)
        await asyncio.sleep(within_s)

    def replace(self, port: int) -> ModelEntry:
        """Kill an entry and start it anew."""
        self.entries[port].stop()
        entry = self.entries[port] = ModelEntry(self, self._members[port])
        entry.start()
        return entry

    def cut(self, port: int, for_s: float) -> None:
        """Cut an entry off from the store for a time."""
        link = self.entries[port].link
        link.is_cut = True
        asyncio.get_running_loop().call_later(for_s, setattr, link, "is_cut", False)

    async def restore(self, copy: StoreCopy, *, away_s: float = 0.5) -> None:
        """Bring the store back from a copy, after a time without it."""
        self.store.cut()
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        self.store.is_down = False

    def is_in_step(self, version: int) -> bool:
        """Check whether every entry believes a version, and is registered."""
        registered = len(self.store.list_keys("entries/")) == len(self.entries)
        return registered and all(
            entry.catalog.configuration_version == version for entry in self.entries.values()
        )

    async def wait(self, version: int, *, limit_s: float = 20.0) -> float:
        """Wait until all are in step; give the time it took, in seconds."""
        began = _now()
        async with asyncio.timeout(limit_s):
            while not self.is_in_step(version):
                await asyncio.sleep(0.01)
        return _now() - began

    def count_calls(self, since: float, until: float) -> Counter[str]:
        """Count calls to the store by kind, between two moments."""
        return Counter(kind for at, kind in self.calls if since <= at < until)

    def stop(self) -> None:
        """End every entry."""
        for entry in self.entries.values():
            entry.stop()


def _now() -> float:
    """Return the loop's time."""
    return asyncio.get_running_loop().time()
