"""Evicts connections whose clients make no progress, when memory or descriptors run out."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Iterable

from halldoor.core.buffers import REQUEST_BYTES, BufferBudget
from halldoor.core.eviction import choose_evicted
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.evictable import EvictableProtocol
from halldoor.gateway.metrics import GatewayMetrics

BATCH_SHARE = 1 / 32
"""Share of the connections that are evicted at a time, so that few searches are needed."""
SEARCH_PAUSE_S = 0.1
"""Pause after a search that found too little, in seconds."""
REPORT_S = 1.0
"""Least time between two reports, in seconds."""
SETTLE_TURNS = 8
"""Turns of the event loop in which an evicted connection releases its buffers."""


class ConnectionEvictor:
    """Frees memory and descriptors for requests and connections that would be refused.

    Parameters
    ----------
    buffers : BufferBudget
        The process's buffers.
    """

    def __init__(self, buffers: BufferBudget, *, log: EventLog, metrics: GatewayMetrics) -> None:
        self._buffers = buffers
        self._log = log
        self._metrics = metrics
        self._sources: list[Collection[EvictableProtocol]] = []
        self._pause_until = self._reported_at = -math.inf
        self._evicted = 0

    def add_source(self, connections: Collection[EvictableProtocol]) -> None:
        """Add a set that contains connections while they are open."""
        self._sources.append(connections)

    def free_descriptors(self) -> int:
        """Evict some connections, and return their number."""
        return len(self._evict("descriptors"))

    def free_memory(self) -> bool:
        """Evict some connections, each of which takes memory; return whether there were any."""
        return bool(self._evict("memory"))

    async def make_room(self, size: int) -> bool:
        """Evict connections until a request finds room that buffers a number of bytes."""
        while self._buffers.can_fit(size, fixed=REQUEST_BYTES) and self._evict("memory"):
            for _ in range(SETTLE_TURNS):
                await asyncio.sleep(0)
                if self._buffers.has_room(size, fixed=REQUEST_BYTES):
                    return True
        return False

    async def make_way(self, connections: Collection[EvictableProtocol], allowed: int) -> bool:
        """Evict one of some connections; return whether fewer than allowed are left of them."""
        now = asyncio.get_running_loop().time()
        evicted = choose_evicted(connections, 1, now)
        self._end(evicted, "slots", now)
        for _ in range(SETTLE_TURNS if evicted else 0):
            await asyncio.sleep(0)
            if len(connections) < allowed:
                return True
        return False

    def _evict(self, cause: str) -> list[EvictableProtocol]:
        """Evict some connections, and return them."""
        now = asyncio.get_running_loop().time()
        if now < self._pause_until:
            return []
        count = math.ceil(BATCH_SHARE * sum(map(len, self._sources)))
        evicted = choose_evicted(self._list_connections(), count, now)
        if len(evicted) < count:
            self._pause_until = now + SEARCH_PAUSE_S
        self._end(evicted, cause, now)
        return evicted

    def _end(self, evicted: Collection[EvictableProtocol], cause: str, now: float) -> None:
        """Evict connections; count and report them."""
        for connection in evicted:
            connection.evict()
        if evicted:
            self._metrics.add_evictions(cause, len(evicted))
            self._report(cause, len(evicted), now)

    def _list_connections(self) -> Iterable[EvictableProtocol]:
        """List the open connections."""
        return (connection for source in self._sources for connection in source)

    def _report(self, cause: str, count: int, now: float) -> None:
        """Log the connections that were evicted, at most once per `REPORT_S`."""
        self._evicted += count
        if now - self._reported_at >= REPORT_S:
            self._reported_at = now
            text = "Evicted connections whose clients make no progress."
            self._log.event("process", text, scarce=cause, count=self._evicted)
            self._evicted = 0
