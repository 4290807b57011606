"""What both sides of an HTTP connection share: waiting for bytes, and for room to write."""

from __future__ import annotations

import asyncio
from typing import Any


class FlowProtocol(asyncio.Protocol):
    """A connection whose one reader waits for bytes and whose writers wait for room."""

    def __init__(self) -> None:
        self._transport: Any = None
        self._waiter: asyncio.Future[None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()

    def pause_writing(self) -> None:
        """Let senders wait for room."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._drained.set()

    def _wake(self) -> None:
        """Wake the reader."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_data(self) -> None:
        """Read from the socket again and wait until something happens to the connection."""
        self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
