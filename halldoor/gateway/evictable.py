"""Accepted connection that can be closed while it waits for its client."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from halldoor.core.buffers import CONNECTION_BYTES, Buffer, BufferBudget, BufferKind
from halldoor.core.eviction import ProgressClock
from halldoor.gateway.receiving import ReceivingProtocol


class EvictedError(TimeoutError):
    """The connection is evicted, as its client made no progress while resources were scarce."""


class EvictableProtocol(ReceivingProtocol):
    """Accepted connection that can be evicted while it waits for its client.

    Attributes
    ----------
    progress : ProgressClock
        Progress of its client.
    """

    progress: ProgressClock
    _fixed: Buffer

    def __init__(self) -> None:
        super().__init__()
        self._is_evicted = False

    def charge(self, budget: BufferBudget) -> None:
        """Count what is buffered from now on against a budget."""
        super().charge(budget)
        self._fixed = budget.open(BufferKind.CONNECTION)

    def _start_counting(self) -> None:
        """Count the connection itself, and start the clock of its client's progress."""
        self._fixed.set(CONNECTION_BYTES)
        self.progress = ProgressClock(asyncio.get_running_loop().time())

    def _close_buffers(self) -> None:
        """Count nothing any longer."""
        super()._close_buffers()
        self._fixed.close()

    @property
    def is_evictable(self) -> bool:
        """Whether the connection waits for its client, which has all answers."""
        if self._is_evicted or self._is_closed or not self._waits_for_client():
            return False
        return not self.count_undelivered()

    @abstractmethod
    def _waits_for_client(self) -> bool:
        """Check whether nothing happens on the connection until its client sends more."""

    def evict(self) -> None:
        """End the request that is being received, and close the connection.

        It is answered 408 if its handler waits for it: it has not run.
        """
        self._is_evicted = True
        if self._is_discarding:
            self._transport.close()
        elif self._waiter is None:
            # A target that takes nothing, or the turn of others, keeps it from being read.
            self._transport.abort()
        else:
            self._wake_reader()

    async def _wait_for_data(self) -> None:
        """Resume reading from the socket, and wait for bytes or the end of the connection.

        Raises
        ------
        EvictedError
            If the connection is evicted.
        """
        self._check_eviction()
        await super()._wait_for_data()
        self._check_eviction()

    def _check_eviction(self) -> None:
        """Raise `EvictedError` if the connection is evicted, but not while it closes."""
        if self._is_evicted and not self._is_discarding:
            raise EvictedError
