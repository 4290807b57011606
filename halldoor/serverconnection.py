"""Connections of the HTTP server, and which of them its workers may wait for.

A worker serves one connection and waits for its bytes.  Clients that stop sending would occupy all
workers, so while other connections wait for a worker, those without progress are closed.
"""

from __future__ import annotations

import contextlib
import fcntl
import io
import select
import socket
import sys
import termios
import threading
import time
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection, HTTPRequest

from halldoor.chunked import ChunkedBody
from halldoor.core.eviction import ProgressClock, choose_evicted

NEXT_REQUEST_WAIT_MS = 3
"""Longest wait of a worker for the next request on its connection, in milliseconds."""
CHECK_MS = 100
"""Period in which a worker that waits for bytes checks whether others need it, in milliseconds."""
ARRIVING_SHARE = 0.75
"""Share of the workers that may wait for bodies to arrive."""
LINGER_S = 2.0
"""Longest time for which a closed connection's bytes are discarded, in seconds."""
DISCARDED_BYTES = 65_536
"""Most bytes that are discarded at once."""
REFUSED_S = 1.0
"""Time for which a refused body counts as waiting for a worker, in seconds."""


class ClientTooSlowError(TimeoutError):
    """The client sent nothing for too long, or too little while others waited."""

    def __init__(self) -> None:
        super().__init__("timed out")  # As cheroot expects it of sockets.


class WorkerShare:
    """Decides which connections the workers wait for.

    Parameters
    ----------
    workers : int
        Number of workers.

    Attributes
    ----------
    busy : int
        Number of workers with a connection; approximate, since it is counted without a lock.
    """

    def __init__(self, workers: int) -> None:
        self.workers = workers
        self.busy = 0
        self._lock = threading.Lock()
        self._waiting: set[Connection] = set()
        self._arriving: set[Connection] = set()
        self._refused_until = 0.0

    def begin_body(self, connection: Connection) -> bool:
        """Count a body that is arriving; return False if too many are."""
        with self._lock:
            if len(self._arriving) >= max(1, int(ARRIVING_SHARE * self.workers)):
                self._refused_until = time.monotonic() + REFUSED_S
                return False
            self._arriving.add(connection)
            return True

    def end_body(self, connection: Connection) -> None:
        """Count a body no longer, since it has arrived or its request has ended."""
        with self._lock:
            self._arriving.discard(connection)

    def begin_wait(self, connection: Connection) -> None:
        """Add a connection whose worker waits for bytes."""
        with self._lock:
            self._waiting.add(connection)

    def end_wait(self, connection: Connection) -> None:
        """Remove a connection whose worker no longer waits."""
        with self._lock:
            self._waiting.discard(connection)

    def must_yield(self, connection: Connection, queued: int) -> bool:
        """Check whether a worker must give its connection up for others.

        Parameters
        ----------
        queued : int
            Number of connections that wait for a worker.
        """
        now = time.monotonic()
        wanted = queued + (now < self._refused_until)
        if not wanted:
            return False
        with self._lock:
            return connection in choose_evicted(self._waiting, wanted, now)


class _ClientIO(socket.SocketIO):
    """Socket of a client; its worker waits for bytes as long as `WorkerShare` allows."""

    def __init__(self, connection: Connection, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self._connection = connection
        self._poller = select.poll()
        self._poller.register(sock, select.POLLIN)

    def readinto(self, buffer: Any) -> int | None:
        """Read some bytes; raises `ClientTooSlowError`."""
        if not self._poller.poll(0):
            self._connection.wait(self._poller)
        count = super().readinto(buffer)
        self._connection.progress.add(count or 0, time.monotonic())
        return count


class _ClientReader(StreamReader):
    """Buffered reader of a client's socket."""

    def __init__(self, source: _ClientIO, size: int) -> None:
        super(StreamReader, self).__init__(source, size)
        self.bytes_read = 0


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
    progress : ProgressClock
        Progress of the client while a worker, or the queue, waited for it.
    must_linger : bool
        Whether the client may be sending when the connection is closed.
    """

    RequestHandlerClass = _Request
    is_evictable = True

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, self._make_file)
        self.progress = ProgressClock(time.monotonic())
        self._share: WorkerShare = server.share
        self._waited_at: float | None = None
        self.must_linger = False

    def _make_file(self, sock: socket.socket, mode: str, size: int) -> Any:
        """Return a reader or a writer of the socket."""
        if "r" in mode:
            return _ClientReader(_ClientIO(self, sock), size)
        return MakeFile(sock, mode, size)

    def begin_body(self, length: int) -> bool:
        """Begin to read a body of a length, -1 if unknown; return False if too many arrive."""
        return 0 <= length <= self.count_arrived() or self._share.begin_body(self)

    def end_body(self) -> None:
        """Record that the body has arrived."""
        self._share.end_body(self)

    def count_arrived(self) -> int:
        """Return the number of bytes that have arrived and are not read yet."""
        buffered = len(self.rfile.peek()) if self.rfile.has_data() else 0
        unread = fcntl.ioctl(self.socket, termios.FIONREAD, bytes(4))
        return buffered + int.from_bytes(unread, sys.byteorder)

    def wait(self, poller: select.poll) -> None:
        """Wait for bytes; raises `ClientTooSlowError`."""
        began_at = time.monotonic()
        if self._waited_at is not None:
            self.progress.skip(began_at - self._waited_at)
        self._share.begin_wait(self)
        try:
            while time.monotonic() - began_at < self.server.timeout:
                if self._share.must_yield(self, self.server.requests.qsize):
                    break
                if poller.poll(CHECK_MS):
                    return
            raise ClientTooSlowError
        finally:
            self._share.end_wait(self)
            self._waited_at = time.monotonic()

    def communicate(self) -> bool:
        """Serve requests until the caller pauses; return whether the connection stays open."""
        self._share.busy += 1
        try:
            is_open = self._serve_request()
            while is_open and self._has_next_request():
                is_open = self._serve_request()
            return is_open
        finally:
            self._share.busy -= 1

    def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            return bool(super().communicate())
        finally:
            self._share.end_body(self)
            self._waited_at = time.monotonic()
            self.progress.restart(self._waited_at)

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
        if self._share.busy * 2 > self._share.workers or not self.server.ready:
            return False
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(NEXT_REQUEST_WAIT_MS))
