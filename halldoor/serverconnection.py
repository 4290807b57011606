"""Connections of the HTTP server, also of clients that don't send what they announced."""

from __future__ import annotations

import contextlib
import fcntl
import io
import select
import socket
import sys
import termios
import time
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from halldoor.chunked import ChunkedBody

NEXT_REQUEST_WAIT_MS = 3
"""Longest wait of a worker for the next request on its connection, in milliseconds."""
CHECK_MS = 100
"""Period in which a worker that waits for bytes checks whether others need it, in milliseconds."""
LINGER_S = 2.0
"""Longest time for which a closed connection's bytes are discarded, in seconds."""
DISCARDED_BYTES = 65_536
"""Most bytes that are discarded at once."""


class _Request(HTTPRequest):
    """Request whose connection is closed after its answer if the body has not arrived by then.

    The library would read the rest of the body into memory before it sends the answer, or keep the
    connection open and take the rest of a chunked body for requests.
    """

    _chunks: ChunkedBody | None = None

    def open_body(self) -> None:
        """Read a chunked body piece by piece, where the library would hold whole chunks."""
        if self.chunked_read:
            self._chunks = ChunkedBody(self.conn.rfile, self.server.max_request_body_size)
            self.rfile = io.BufferedReader(self._chunks)

    def send_headers(self) -> None:
        """Send the head of the answer."""
        if self._lacks_body():
            self.close_connection = self.conn.must_linger = True
        super().send_headers()

    def _lacks_body(self) -> bool:
        """Check whether a part of the body has not arrived, or may not have."""
        if self._chunks is not None:
            return not self._chunks.has_ended
        remaining = getattr(self.rfile, "remaining", 0)
        return remaining > 0 and remaining > self.conn.count_arrived()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Send an error's answer, after which the connection is closed."""
        self.conn.must_linger = True
        super().simple_response(status, msg)


class Connection(HTTPConnection):
    """Connection whose worker waits up to `NEXT_REQUEST_WAIT_MS` for the caller's next request.

    Otherwise each request would pass from the worker to the thread that polls all connections, and
    through the queue to another worker: two thread switches, which under the interpreter's lock
    cost more than a look-up.

    Attributes
    ----------
    must_linger : bool
        Whether the client may be sending when the connection is closed.
    """

    RequestHandlerClass = _Request
    must_linger = False

    def count_arrived(self) -> int:
        """Return the number of bytes that have arrived and are not read yet."""
        buffered = len(self.rfile.peek()) if self.rfile.has_data() else 0
        unread = fcntl.ioctl(self.socket, termios.FIONREAD, bytes(4))
        return buffered + int.from_bytes(unread, sys.byteorder)

    def communicate(self) -> bool:
        """Serve requests until the caller pauses; return whether the connection stays open."""
        # Counted without a lock: an approximate number of busy workers is enough.
        self.server.busy += 1
        try:
            is_open = bool(super().communicate())
            while is_open and self._has_next_request():
                is_open = bool(super().communicate())
            return is_open
        finally:
            self.server.busy -= 1

    def close(self) -> None:
        """Close the connection; the client receives the answer although it may be sending."""
        if self.must_linger and not self.rfile.closed:
            with contextlib.suppress(OSError):
                self._linger()
        super().close()

    def _linger(self) -> None:
        """Discard what the client sends, for `LINGER_S`, or what has arrived if others wait.

        The kernel would discard the answer if bytes arrived on a closed socket.
        """
        arrived = self.count_arrived()
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.setblocking(False)
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        ends_at = time.monotonic() + LINGER_S
        while time.monotonic() < ends_at and (arrived > 0 or not self.server.requests.qsize):
            if poller.poll(CHECK_MS):
                piece = self.socket.recv(DISCARDED_BYTES)
                if not piece:
                    return
                arrived -= len(piece)
            else:
                arrived = 0

    def _has_next_request(self) -> bool:
        """Check whether the next request has arrived.

        Waits up to `NEXT_REQUEST_WAIT_MS` for it, unless over half of the workers are busy.
        """
        if self.rfile.has_data():
            return True
        if self.server.busy * 2 > self.server.threads or not self.server.ready:
            return False
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(NEXT_REQUEST_WAIT_MS))
