"""Receive windows of accepted connections: bytes that arrive before the process reads them.

The kernel takes about 64 KB from each client at once, and megabytes from one whose bytes are read
quickly.  With thousands of connections that exceeds the machine's memory, whatever the process
itself buffers.  So a connection starts with a small window where memory is scarce, and gets a wide
one while it sends a body for which there is room.
"""

from __future__ import annotations

import contextlib
import socket

from halldoor.core.buffers import Buffer

LEAST_BYTES = 4_096
"""Smallest window."""
USUAL_BYTES = 65_536
"""Window with which connections start by default; wide enough to be left to the kernel."""
WIDE_BYTES = 262_144
"""Window of a connection while it sends a body, if its share of the buffers allows that."""


class ReceiveWindow:
    """The receive windows of the connections that one port accepts.

    Parameters
    ----------
    start_bytes : int
        Window of a connection that sends no body; `USUAL_BYTES` or more: left to the kernel.
    """

    def __init__(self, start_bytes: int = USUAL_BYTES) -> None:
        self.start_bytes = max(LEAST_BYTES, start_bytes)

    @classmethod
    def from_memory(cls, memory_bytes: float, *, connections: float) -> ReceiveWindow:
        """Return windows that fit into a part of the memory for a number of connections."""
        return cls(int(min(USUAL_BYTES, memory_bytes / max(1.0, connections))))

    @property
    def is_limited(self) -> bool:
        """Whether windows are limited by the process."""
        return self.start_bytes < USUAL_BYTES

    def prepare(self, listener: socket.socket) -> None:
        """Set the window of the connections that a socket accepts from now on."""
        if self.is_limited:
            _set(listener, self.start_bytes)

    def widen(self, sock: socket.socket, buffer: Buffer) -> None:
        """Widen a connection's window for a body, as far as its share of the buffers allows."""
        if not self.is_limited or buffer.size:
            return
        size = min(WIDE_BYTES, int(buffer.find_optional_room()))
        if size > self.start_bytes:
            buffer.set(size)
            _set(sock, size)

    def narrow(self, sock: socket.socket, buffer: Buffer) -> None:
        """Reset a connection's window after a body."""
        if buffer.size:
            buffer.set(0)
            _set(sock, self.start_bytes)

    def close(self, sock: socket.socket) -> None:
        """Narrow the window of a connection whose input is discarded from now on."""
        _set(sock, LEAST_BYTES)


def _set(sock: socket.socket, size: int) -> None:
    """Set the size of a socket's receive buffer.

    The kernel doubles the value, for its bookkeeping of small segments (socket(7)).
    """
    with contextlib.suppress(OSError):  # The peer has closed the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)
