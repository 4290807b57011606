"""Bounds the targets' slots that requests take while their bodies are still arriving."""

from __future__ import annotations

import contextlib
import math
from collections import defaultdict
from collections.abc import AsyncIterator

from halldoor.core.targets.catalog import Catalog
from halldoor.gateway.evictable import EvictableProtocol
from halldoor.gateway.eviction import ConnectionEvictor

STREAM_SHARE = 0.5
"""Share of a service's slots that requests may take before their bodies have arrived."""


class BodyStreams:
    """Requests whose bodies are sent on to targets while they arrive, by service.

    Such a request occupies a slot for as long as its client takes, which others wait for.

    Parameters
    ----------
    catalog : Catalog
        Targets of each service.
    evictor : ConnectionEvictor
        Ends streams whose clients make no progress.
    """

    def __init__(self, catalog: Catalog, evictor: ConnectionEvictor) -> None:
        self._catalog = catalog
        self._evictor = evictor
        self._open: defaultdict[str, set[EvictableProtocol]] = defaultdict(set)

    def _count_allowed(self, service: str) -> int:
        """Return the number of streams that a service may have at a time."""
        slots = sum(target.record.slots for target in self._catalog.list_usable(service))
        return max(1, math.ceil(STREAM_SHARE * slots))

    @contextlib.asynccontextmanager
    async def enter(self, caller: EvictableProtocol, service: str) -> AsyncIterator[bool]:
        """Count a stream within the context; yields whether it may begin."""
        streams = self._open[service]
        allowed = self._count_allowed(service)
        may_begin = len(streams) < allowed or await self._evictor.make_way(streams, allowed)
        if not may_begin:
            yield False
            return
        streams.add(caller)
        try:
            yield True
        finally:
            streams.discard(caller)
