"""Flow control shared by client and server connections: waiting to read and to write."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

READ_BYTES = 65_536
"""Most bytes that are read from a socket at a time."""
LEAST_READ_BYTES = 16_384
"""Bytes that are read at a time while buffers are scarce."""


class _ReadBuffer(threading.local):
    """Memory into which all connections of a thread's event loop read, one at a time."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES))


_READ_BUFFER = _ReadBuffer()


class FlowProtocol(asyncio.BufferedProtocol):
    """Protocol base with one waiting reader, and writers that wait while the buffer is full."""

    def __init__(self) -> None:
        self._transport: Any = None
        self._waiter: asyncio.Future[None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory to read into; only a part of it while buffers are scarce."""
        return _READ_BUFFER.view[: LEAST_READ_BYTES if self._is_full() else READ_BYTES]

    def _is_full(self) -> bool:
        """Check whether little more should be buffered."""
        return False

    def buffer_updated(self, nbytes: int) -> None:
        """Receive what was read."""
        self.data_received(bytes(_READ_BUFFER.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Receive bytes from the peer."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Make writers wait, since the write buffer is full."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Release waiting writers, since the write buffer has drained."""
        self._drained.set()

    async def wait_until_drained(self) -> None:
        """Wait while the write buffer is full."""
        if not self._drained.is_set():
            await self._drained.wait()

    def _wake_reader(self) -> None:
        """Wake the waiting reader, if there is one."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_data(self) -> None:
        """Resume reading from the socket, and wait for bytes or the end of the connection."""
        self._transport.resume_reading()
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        try:
            await waiter
        finally:
            # A cancelled reader may end after its successor has begun to wait.
            if self._waiter is waiter:
                self._waiter = None
