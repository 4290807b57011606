"""Delivery of answers to the end before their connection closes.

A socket resets its connection if it is closed with unread bytes or receives bytes after its close,
and the kernel then drops what it has not sent.  So a connection stops sending first, and discards
input until the peer's host has acknowledged all bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import math
import socket
import struct
import sys
import termios
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from halldoor.core.buffers import BufferAccount, BufferBudget, BufferKind
from halldoor.gateway.flow import FlowProtocol

LINGER_S = 0.5
"""Time without bytes in either direction after which closing destroys no answer, in seconds.

The peer may be a proxy, which has acknowledged bytes that its own peer has not read.
"""
CHECK_S = 0.1
"""Period of checking what the peer has acknowledged, in seconds."""


class DeliveryProtocol(FlowProtocol):
    """Server side of a connection, which can close once its peer has received what was written.

    Attributes
    ----------
    account : BufferAccount
        Counts what is buffered for the connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.charge(BufferBudget())
        self._is_closed = False
        self._is_discarding = False
        self._active_at = -math.inf
        self._is_reset_at_close = False

    def charge(self, budget: BufferBudget) -> None:
        """Count what is buffered from now on against a budget."""
        self.account = BufferAccount(budget)
        self._unsent = self.account.open(BufferKind.UNSENT)

    def _is_full(self) -> bool:
        """Check whether little more should be buffered."""
        return self.account.is_full

    def _count_unsent(self) -> None:
        """Count what the write buffer holds."""
        self._unsent.set(int(self._transport.get_write_buffer_size()))

    def resume_writing(self) -> None:
        """Release waiting writers, since the write buffer has drained."""
        self._count_unsent()
        super().resume_writing()

    def set_reset_at_close(self, is_reset: bool) -> None:
        """Set whether closing the socket, also by the end of the process, resets the connection.

        The end of a stream that was closed looks like the end of an answer without a length.
        """
        if is_reset is self._is_reset_at_close:
            return
        self._is_reset_at_close = is_reset
        linger = struct.pack("ii", int(is_reset), 0)
        with contextlib.suppress(OSError):  # The peer has closed the connection.
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the peer disconnected."""
        if data and not self._is_closed:
            self._active_at = asyncio.get_running_loop().time()
            self._transport.write(data)
            self._count_unsent()

    def _allow_close(self) -> None:
        """Allow the connection to close without a reset, once all of an answer is sent."""
        if self._is_reset_at_close and not self._transport.get_write_buffer_size():
            self.set_reset_at_close(False)

    def count_undelivered(self) -> int:
        """Return the number of bytes that the peer's host has not acknowledged yet.

        Where the system does not tell what the kernel holds, only those that it has not got.
        """
        held = int(self._transport.get_write_buffer_size())
        return held + _count_unacknowledged(self._transport.get_extra_info("socket"))

    def is_settled(self) -> bool:
        """Check whether closing the connection now would destroy no answer."""
        now = asyncio.get_running_loop().time()
        if self.count_undelivered():
            self._active_at = now
        return now - self._active_at >= LINGER_S

    def discard_input(self) -> bool:
        """Record that bytes were received; return whether they are discarded, at the close."""
        if self._is_discarding:
            self._active_at = asyncio.get_running_loop().time()
        return self._is_discarding

    async def wait_until_taken(self, *, limit_s: float) -> None:
        """Wait while the write buffer is full.

        Parameters
        ----------
        limit_s : float
            Longest time in which the peer acknowledges nothing more, in seconds; a peer that
            exceeds it is disconnected.
        """
        if not self._drained.is_set():
            await self._watch_delivery(self._drained.is_set, self._drained.wait, limit_s=limit_s)

    def _has_ended(self) -> bool:
        """Check whether the connection is closed, or closing it now would destroy no answer."""
        return self._is_closed or self._transport.is_closing() or self.is_settled()

    async def linger(self, *, limit_s: float) -> None:
        """Stop sending, and discard input until the peer has received what was written.

        Parameters
        ----------
        limit_s : float
            Longest time in which the peer acknowledges nothing more, in seconds; a peer that
            exceeds it is disconnected.
        """
        if self._has_ended():
            return
        self._is_discarding = True
        try:
            self._transport.write_eof()
        except OSError:
            return  # The peer has reset the connection; the transport is told next.
        await self._watch_delivery(self._has_ended, self._wait_for_data, limit_s=limit_s)

    async def _watch_delivery(
        self, is_done: Callable[[], bool], wait: Callable[[], Awaitable[object]], *, limit_s: float
    ) -> None:
        """Wait until something is done; disconnect a peer that acknowledges nothing meanwhile."""
        loop = asyncio.get_running_loop()
        left, progress_at = self.count_undelivered(), loop.time()
        while not is_done():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_S):
                    await wait()
            undelivered = self.count_undelivered()
            self._count_unsent()
            if undelivered < left:
                left, progress_at = undelivered, loop.time()
            elif loop.time() - progress_at >= limit_s:
                self._transport.abort()


def sum_undelivered(connections: Iterable[DeliveryProtocol]) -> int:
    """Return the number of bytes that connections have sent and that have not arrived yet."""
    return sum(connection.count_undelivered() for connection in connections)


def _count_unacknowledged(sock: Any) -> int:
    """Return the number of bytes in a socket's send queue that its peer has not acknowledged."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (AttributeError, OSError, ValueError):
        return 0  # The socket is closed, or the system does not tell.
    return int.from_bytes(answer, sys.byteorder)
