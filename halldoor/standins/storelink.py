"""Simulated connection of an entry to its store, with faults of the store and the connection."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Coroutine, Sequence
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.store import Events, Lease, MetadataStore, Page, StoredItem, StoreError
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.modelnetwork import Location, Network, Node

CALL_TIMEOUT_S = 1.0
"""Timeout of a call, in seconds."""
READ_TIMEOUT_S = 3.0
"""Timeout for reading a page of a range, in seconds."""

ITEM_BYTES = 150
"""Size of an item of an answer beside its value, in bytes."""
MAX_SILENCE_S = 60.0
"""Longest time for which a silent watch waits, in seconds; longer than any watch's timeout."""


class StoreServer:
    """The store as a node on the simulated network.

    Parameters
    ----------
    answer_s : float
        Processing time of a call, in seconds.

    Attributes
    ----------
    slowness : float
        Factor applied to the processing time of a call.
    refused : float
        Share of the calls that are answered with 429.
    calls : list of tuple of float and str
        Time and kind of each call.
    """

    def __init__(
        self,
        store: MemoryStore,
        location: Location,
        network: Network,
        *,
        answer_s: float,
        random: Random,
    ) -> None:
        self.store = store
        self.node = Node(location)
        self.network = network
        self.slowness = 1.0
        self.refused = 0.0
        self.calls: list[tuple[float, str]] = []
        self._answer_s = answer_s
        self._random = random

    async def accept(self, kind: str) -> None:
        """Record a call, and wait for the store's processing time."""
        self.calls.append((asyncio.get_running_loop().time(), kind))
        await asyncio.sleep(self._answer_s * self.slowness)

    def is_refused(self) -> bool:
        """Draw at random whether a call is refused."""
        return self.refused > 0 and self._random.random() < self.refused


class StoreLink(MetadataStore):
    """The store as one entry reaches it over the network; calls are delayed and recorded by kind.

    Attributes
    ----------
    is_cut : bool
        Calls fail at once without reaching the store.
    is_silent : bool
        Calls and answers are held back without an error until this is false again.
    """

    def __init__(self, server: StoreServer, node: Node) -> None:
        super().__init__()
        self._server = server
        self._node = node
        self.is_cut = False
        self.is_silent = False
        self._silenced = asyncio.Event()
        self._detection_s = math.inf

    def silence_watch(self, *, detection_s: float = math.inf) -> None:
        """Stop the current watch from receiving changes; later watches work.

        Parameters
        ----------
        detection_s : float, optional
            Time until the connection is detected as dead, in seconds; infinite if the store still
            acknowledges data on it.
        """
        self._detection_s = detection_s
        self._silenced.set()
        self._silenced = asyncio.Event()

    @asynccontextmanager
    async def _call(
        self, kind: str, *, limit_s: float = CALL_TIMEOUT_S
    ) -> AsyncIterator[tuple[MemoryStore, asyncio.Timeout]]:
        """Send a call; yield the store and the call's limit, and return its answer or error."""
        server = self._server
        try:
            async with asyncio.timeout(limit_s) as limit:
                await self._transmit(self._node, server.node)
                if self.is_cut:
                    server.calls.append((asyncio.get_running_loop().time(), kind))
                    raise StoreError("Cut off.", remedy="Mend the link.")
                await server.accept(kind)
                error: StoreError | None = None
                try:
                    if server.is_refused():
                        raise StoreError("The store answered 429.", remedy="Call later.")
                    yield server.store, limit
                except StoreError as exc:
                    error = exc
                era = server.store.era
                await self._transmit(server.node, self._node)
                self.era = era
                if error is not None:
                    raise error
        except TimeoutError:
            raise StoreError(f"No answer to {kind}.", remedy="Check the store.") from None

    async def _transmit(self, sender: Node, receiver: Node) -> None:
        """Wait for one transmission between the entry and the store."""
        await self._server.network.transmit(sender, receiver)
        while self.is_silent:
            await asyncio.sleep(CALL_TIMEOUT_S)

    async def _receive(
        self, items: Sequence[StoredItem], limit: asyncio.Timeout, arrival: Arrival
    ) -> None:
        """Receive the items of an answer, whose values are in base64."""
        size = sum(ITEM_BYTES + 4 * len(item.value or b"") // 3 for item in items)
        if not size:
            return
        arrival.size = size
        arrival.extend(limit)
        await self._server.network.transmit_body(
            self._server.node,
            self._node,
            size,
            on_part=lambda count: arrival.extend(limit, count=count),
        )

    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Return one page of the keys with a prefix."""
        with self._follow_arrival("page_arrival") as arrival:
            async with self._call("range", limit_s=READ_TIMEOUT_S) as (store, limit):
                page = await store.read_range(prefix, after=after)
                await self._receive(page.items, limit, arrival)
                return page

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait for changes after a revision, for ``wait_s`` seconds at most."""
        with self._follow_arrival("watch_arrival") as arrival:
            async with self._call("watch", limit_s=wait_s + CALL_TIMEOUT_S) as (store, limit):
                watch = store.watch(prefix, after=after, wait_s=wait_s)
                events = await self._wait_for_watch(watch)
                await self._receive(events.items, limit, arrival)
                return events

    async def _wait_for_watch(self, watch: Coroutine[Any, Any, Events]) -> Events:
        """Wait for a watch's answer; fail once a silenced connection is detected as dead."""
        waiting = asyncio.ensure_future(watch)
        silenced = asyncio.ensure_future(self._silenced.wait())
        try:
            await asyncio.wait([waiting, silenced], return_when=asyncio.FIRST_COMPLETED)
            if silenced.done():
                await asyncio.sleep(min(self._detection_s, MAX_SILENCE_S))
                raise StoreError("The connection was lost.", remedy="Watch again.")
            return waiting.result()
        finally:
            waiting.cancel()
            silenced.cancel()

    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Write a key under a lease."""
        async with self._call("write") as (store, _):
            await store.write(key, value, lease=lease)

    async def claim(self, key: str, *, lease: str) -> bool:
        """Write a key under a lease unless the key exists; return whether it was written."""
        async with self._call("write") as (store, _):
            return await store.claim(key, lease=lease)

    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        async with self._call("lease") as (store, _):
            return await store.create_lease(ttl_s)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease; a renewal costs a tenth of another call."""
        async with self._call("renewal") as (store, _):
            await store.renew_lease(lease)

    async def end_lease(self, lease: str) -> None:
        """End a lease."""
        async with self._call("lease") as (store, _):
            await store.end_lease(lease)
