"""Memory and descriptors that all accepted connections of a process share."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from halldoor.core.buffers import CONNECTION_BYTES, BufferBudget
from halldoor.gateway.evictable import EvictableProtocol
from halldoor.gateway.eviction import ConnectionEvictor
from halldoor.windows import ReceiveWindow


class SharedResources:
    """What accepted connections share.

    Parameters
    ----------
    buffers : BufferBudget, optional
        Counts what is buffered for connections.
    unread_bytes : float, optional
        Most bytes that may arrive from all clients before they are read.
    spare_descriptors : callable, optional
        Closes what can be spared, and returns the number of descriptors that it freed.
    evictor : ConnectionEvictor, optional
        Closes connections whose clients make no progress.
    """

    def __init__(
        self,
        buffers: BufferBudget | None = None,
        unread_bytes: float = math.inf,
        spare_descriptors: Callable[[], int] = lambda: 0,
        evictor: ConnectionEvictor | None = None,
    ) -> None:
        self.buffers = buffers or BufferBudget()
        self._unread_bytes = unread_bytes
        self._spare_descriptors = spare_descriptors
        self._evictor = evictor

    def build_window(self, connections: float) -> ReceiveWindow:
        """Return the receive windows of a port for a number of connections at most."""
        return ReceiveWindow.from_memory(self._unread_bytes, connections=connections)

    def watch(self, connections: Collection[EvictableProtocol]) -> None:
        """Add a set of connections that may be evicted."""
        if self._evictor is not None:
            self._evictor.add_source(connections)

    def spare_descriptors(self) -> int:
        """Close what can be spared, and return the number of descriptors that are freed."""
        count = self._spare_descriptors()
        if not count and self._evictor is not None:
            count = self._evictor.free_descriptors()
        return count

    def has_room(self) -> bool:
        """Check whether there is memory for another connection, or some is being freed."""
        if self.buffers.has_room(CONNECTION_BYTES):
            return True
        return self._evictor is not None and self._evictor.free_memory()
