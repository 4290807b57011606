"""Simulated entry: the product's tasks that synchronize with the store and other entries."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, Protocol, cast

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import Change, MemberRecord, MemberRemoved
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.datagrams import DatagramPort
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.httpclient import HttpAnswer, HttpCallError, HttpClient
from halldoor.gateway.maintenance import Maintenance
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender
from halldoor.gateway.plain import PlainCodec
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.registration import Registration
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.storenotices import StoreNoticeExchange
from halldoor.gateway.sync import StoreSync
from halldoor.standins.modelnetwork import Link, Location, Node, start_task_on
from halldoor.standins.storelink import StoreLink

if TYPE_CHECKING:
    from halldoor.standins.storefleet import StoreFleet


LINES_KEPT = 100
"""Number of an entry's latest log lines that are kept."""


class CountingLog:
    """An event log that counts events by text and keeps the latest lines."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lines: deque[tuple[str, str, dict[str, Any]]] = deque(maxlen=LINES_KEPT)

    def event(self, part: str, text: str, **fields: Any) -> None:
        """Count an event, and keep its line."""
        self.counts[f"{part}: {text}"] += 1
        self.lines.append((part, text, fields))


class _CallerStub:
    """Stand-in for `CallerConnection` that keeps the answer to a poll."""

    def __init__(self) -> None:
        self.answer = Answer(500, [])

    def send(self, answer: Answer) -> None:
        """Store the answer."""
        self.answer = answer


class ModelClient:
    """A stand-in for `HttpClient` that calls another entry over the simulated network.

    Parameters
    ----------
    own : Node, optional
        The calling node; None: a node at the location of the called entry.
    """

    def __init__(self, fleet: StoreFleet, address: Address, own: Node | None = None) -> None:
        self._fleet = fleet
        self._address = address
        self._own = own

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        timeout_s: float,
        arrival: Arrival | None = None,
    ) -> HttpAnswer:
        """Call the other entry, and return its answer."""
        try:
            async with asyncio.timeout(timeout_s) as limit:
                return await self._call(method, target, limit, arrival)
        except TimeoutError:
            raise HttpCallError("no answer in time") from None

    async def _call(
        self, method: str, target: str, limit: asyncio.Timeout, arrival: Arrival | None
    ) -> HttpAnswer:
        """Send the call to the other entry, if it is up, and wait for its answer."""
        node = self._fleet.nodes[self._address.port]
        own = self._own if self._own is not None else Node(node.location)
        await self._fleet.network.transmit(own, node)
        entry = self._fleet.entries.get(self._address.port)
        if entry is None or not entry.tasks:
            raise HttpCallError("connection refused")
        caller = _CallerStub()
        head = Head(method.encode(), target.encode(), [], asyncio.get_running_loop().time())
        answering = entry.serve(entry.feed.answer(cast(CallerConnection, caller), head))
        await asyncio.wait([answering])
        if answering.cancelled():
            raise HttpCallError("connection reset")
        answering.result()
        self._fleet.answer_bytes += len(caller.answer.body)
        await self._fleet.network.transmit(node, own)
        size = len(caller.answer.body)
        if arrival is not None:
            arrival.size = size
            arrival.extend(limit)

        def extend(count: int) -> None:
            if arrival is not None:
                arrival.extend(limit, count=count)

        await self._fleet.network.transmit_body(node, own, size, on_part=extend)
        return HttpAnswer(caller.answer.status, caller.answer.body)

    def close(self) -> None:
        """Close the connection."""


class ModelTransport:
    """A datagram transport that sends an entry's datagrams over the simulated network."""

    def __init__(self, fleet: StoreFleet, own: MemberRecord) -> None:
        self._fleet = fleet
        self._own = own

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to the entry at an address."""
        fleet, own = self._fleet, self._own.front
        if address[1] in fleet.nodes:
            sender, receiver = fleet.nodes[own.port], fleet.nodes[address[1]]
            fleet.network.send_datagram(
                sender, receiver, lambda: fleet.deliver(data, own, to_port=address[1])
            )

    def close(self) -> None:
        """Close the port."""


class Component(Protocol):
    """Interface of an entry's components, such as the sender of notices; each runs as a task."""

    def run(self) -> Coroutine[Any, Any, None]:
        """Run until cancelled."""


class ModelEntry:
    """The components of an entry that synchronize it with the store and other entries.

    Attributes
    ----------
    port, sender : DatagramPort, NoticeSender
        Port for messages from and to other entries, and the sender of notices.
    exchanges : list of Component
        Components that run beside the synchronization, registration and maintenance.
    """

    def __init__(self, fleet: StoreFleet, member: MemberRecord) -> None:
        self.node = fleet.nodes[member.front.port] = Node(Location(member.hall, member.region))
        if member.link_mbps is not None:
            rate = member.link_mbps * 1e6 / 8
            self.node.inwards, self.node.outwards = Link(rate), Link(rate)
        self.link = StoreLink(fleet.server, self.node)
        self.events = CountingLog()
        log = cast(EventLog, self.events)
        self.catalog = Catalog(CatalogTimings(young_s=0.0))
        codec, metrics = PlainCodec(), GatewayMetrics()
        self.port = DatagramPort(None, is_entry=self.catalog.sharers.has_address, metrics=metrics)
        self.port.connection_made(cast(asyncio.BaseTransport, ModelTransport(fleet, member)))
        self.sender = NoticeSender(member, self.catalog, self.port)
        self.feed = ChangeFeed(
            self.link,
            member,
            self.catalog,
            settings=fleet.settings,
            batch_s=fleet.batch_s,
            log=log,
            metrics=metrics,
            routing_key=codec.routing_key,
            open_client=lambda a: cast(HttpClient, ModelClient(fleet, a, self.node)),
        )
        self.sync = StoreSync(
            self.link,
            codec,
            self.catalog,
            log=log,
            metrics=metrics,
            on_change=self._handle_change,
            feed=self.feed,
        )
        self.name = member.name
        self.registration = Registration(
            self.link,
            codec,
            member,
            log=log,
            metrics=metrics,
            is_loaded=self.sync.is_loaded,
            on_contact=lambda: self.catalog.record_answer(asyncio.get_running_loop().time()),
            on_return=self.sync.restart_watch,
            is_missing=lambda since: self.catalog.lacks_member(member.name, since),
        )
        self.maintenance = Maintenance(
            self.catalog,
            (TargetPool(),),
            on_change=self._handle_change,
            on_suspension=lambda: self.sync.invalidate("the process stood still"),
            log=log,
        )
        notices = StoreNoticeExchange(
            member,
            self.catalog,
            self.port,
            get_view=lambda: self.sync.view,
            skip_pause=self.feed.skip_pause,
            renew_watch=self.sync.renew_watch,
            log=log,
            metrics=metrics,
        )
        self.sync.on_update.append(notices.queue_notices)
        self.exchanges: list[Component] = [notices]
        self.tasks: list[asyncio.Task[None]] = []
        self._serving: set[asyncio.Task[None]] = set()

    def _handle_change(self, change: Change) -> None:
        """Write the entry's own record again if it was removed from the store."""
        if isinstance(change, MemberRemoved) and change.name == self.name:
            self.registration.record_removal()

    def start(self) -> None:
        """Start the tasks."""
        components: list[Component] = [
            self.sync,
            self.registration,
            self.maintenance,
            *self.exchanges,
        ]
        self.tasks = [start_task_on(self.node, component.run()) for component in components]

    def serve(self, answering: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task on this entry's node that answers a call of another entry."""
        task = start_task_on(self.node, answering)
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        return task

    def stop(self) -> None:
        """Cancel all tasks at once, like a killed process."""
        for task in [*self.tasks, *self._serving]:
            task.cancel()
        self.feed.close()
        self.tasks = []
