"""Acceptance of connections, also when the process runs out of descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import os
import socket
from collections.abc import Callable
from typing import Any

from halldoor.gateway.delivery import DeliveryProtocol
from halldoor.machine import find_descriptor_end

PAUSE_S = 0.1
"""Pause after the system could not accept a connection for another reason, in seconds."""
REPORT_S = 1.0
"""Least time between two reports of rejected connections, in seconds."""
READ_BYTES = 65_536
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
    b"Retry-After: 0.5\r\n\r\n"
)


class Acceptor:
    """Accepts the connections of a listening socket.

    A connection for which no descriptor can be spared is rejected at once with 503.  The event
    loop's own server would stop accepting for a second instead, at the cost of a traceback for each
    place in the queue.

    Parameters
    ----------
    sock : socket.socket
        Listening socket.
    build_protocol : callable
        Returns the protocol of a new connection.
    backlog : int, optional
        Greatest number of connections that are accepted in a row.
    reserved_share : float, optional
        Share of the process's descriptors that must stay free for other uses.
    spare : callable, optional
        Closes what can be spared, and returns the number of descriptors that it freed; called
        before a connection is rejected.
    has_room : callable, optional
        Returns whether there is memory for another connection.

    Attributes
    ----------
    rejected : int
        Number of rejected connections.
    """

    def __init__(
        self,
        sock: socket.socket,
        build_protocol: Callable[[], DeliveryProtocol],
        *,
        backlog: int = 1024,
        reserved_share: float = 0.0,
        spare: Callable[[], int] = lambda: 0,
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._build_protocol = build_protocol
        self._backlog = backlog
        self._spare = spare
        self._has_room = has_room
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[Any]] = set()
        self._reserve: socket.socket | None = None
        self._pause: asyncio.TimerHandle | None = None
        self._reported_at = -math.inf
        self.rejected = 0
        self._end = find_descriptor_end(reserved_share)
        self._keep_reserve()
        self._loop.add_reader(sock, self._accept)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket; empty once it is closed."""
        return (self._sock,) if self.is_serving() else ()

    def is_serving(self) -> bool:
        """Check whether connections are accepted."""
        return self._sock.fileno() >= 0

    def close(self) -> None:
        """Accept the connections that have come up, and stop to listen; open ones live on."""
        if not self.is_serving():
            return
        self._accept()
        self._loop.remove_reader(self._sock)
        if self._pause is not None:
            self._pause.cancel()
        self._sock.close()
        if self._reserve is not None:
            self._reserve.close()

    def _accept(self) -> None:
        """Accept the connections that wait."""
        for _ in range(self._backlog):
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                if not self._reject_next(exc):
                    return
                continue
            if (conn.fileno() >= self._end and not self._spare()) or not self._has_room():
                self._reject(conn)
                continue
            conn.setblocking(False)
            opening = self._loop.connect_accepted_socket(self._build_protocol, conn)
            task = self._loop.create_task(opening)
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _reject_next(self, exc: OSError) -> bool:
        """Reject a connection that can't be accepted; return whether more may wait.

        If the system can't even accept it with the descriptor that is given up, pause.
        """
        if self._spare():
            return False  # They are free in the loop's next iteration.
        if self._reserve is not None:
            self._reserve.close()
            self._reserve = None
            try:
                self._reject(self._sock.accept()[0])
                return True
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False  # None waits: the system looks for a descriptor first.
            except OSError as other:
                exc = other
            finally:
                self._keep_reserve()
        self._report(exc)
        self._loop.remove_reader(self._sock)
        if self._pause is not None:
            self._pause.cancel()
        self._pause = self._loop.call_later(
            PAUSE_S, self._loop.add_reader, self._sock, self._accept
        )
        return False

    def _reject(self, conn: socket.socket) -> None:
        """Answer that nothing has run, and close the connection."""
        self.rejected += 1
        with conn, contextlib.suppress(OSError):
            conn.setblocking(False)
            conn.send(REJECTION)
            conn.shutdown(socket.SHUT_WR)
            # Unread bytes would reset the connection, and drop the answer.
            conn.recv(READ_BYTES)
        self._report(OSError(errno.EMFILE, os.strerror(errno.EMFILE)))

    def _report(self, exc: OSError) -> None:
        """Report that connections are rejected, at most once per `REPORT_S`."""
        now = self._loop.time()
        if now - self._reported_at < REPORT_S:
            return
        self._reported_at = now
        context = {"message": f"Connections rejected: {self.rejected}.", "exception": exc}
        self._loop.call_exception_handler(context)

    def _keep_reserve(self) -> None:
        """Open the descriptor that is given up to reject a connection."""
        with contextlib.suppress(OSError):
            self._reserve = socket.socket()
