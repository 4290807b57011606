"""Pooled client connections to other entries.

Every call has a time-out, and a connection on which a call failed is closed instead of reused, so
that a late reply is never read as the answer to the next call.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from halldoor.core.errors import PeerError
from halldoor.core.settings import Address
from halldoor.wire.protocol import FrameSocket, decode_reply, encode_call

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 32
"""Idle connections kept for each address."""


class PeerConnection:
    """One connection to one entry, which carries one call at a time.

    Attributes
    ----------
    has_sent : bool
        Whether a call was started on the connection since it was taken from the pool.
    """

    def __init__(self, address: Address, *, source_ip: str = "") -> None:
        source = (source_ip, 0) if source_ip else None
        try:
            sock = socket.create_connection((address.ip, address.port), CONNECT_TIMEOUT_S, source)
        except OSError as exc:
            raise PeerError(
                f"The entry at {address} can't be reached: {exc}.",
                remedy="Check that it runs and that the halls are connected.",
            ) from exc
        self._frames = FrameSocket(sock)
        self._sequence = 0
        self.has_sent = False

    def call(self, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Call a method of the peer and return its reply.

        Raises
        ------
        PeerError
            If no complete reply came in time.  `has_sent` is then true if the peer may have
            received the call, and the connection must be closed.
        """
        self._sequence += 1
        frame = encode_call(method, self._sequence, arguments)
        self._frames.set_timeout(max(0.001, timeout_s))
        try:
            self.has_sent = True
            self._frames.send(frame)
            return decode_reply(method, self._sequence, self._frames.receive())
        except (OSError, EOFError) as exc:
            raise PeerError(
                f"The entry did not answer {method}: {exc or 'connection closed'}.",
                remedy="Look at the peer's log; retry if the operation is repeatable.",
            ) from exc

    def is_stale(self) -> bool:
        """Check whether the idle connection was closed by the peer or has unexpected data."""
        return self._frames.is_stale()

    def close(self) -> None:
        """Close the connection; the peer then cancels the request that runs on it."""
        self._frames.close()


class PeerPool:
    """Pool of idle connections by address, safe for use by several threads.

    Parameters
    ----------
    source_ip : str, optional
        Local address of outgoing connections, by which peers and firewalls identify the host.
    """

    def __init__(self, *, source_ip: str = "") -> None:
        self._source_ip = source_ip
        self._lock = threading.Lock()
        self._idle: dict[Address, list[PeerConnection]] = {}

    def acquire(self, address: Address) -> PeerConnection:
        """Return an idle connection that is still open, or connect if there is none."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                return PeerConnection(address, source_ip=self._source_ip)
            if not connection.is_stale():
                connection.has_sent = False
                return connection
            connection.close()

    def release(self, address: Address, connection: PeerConnection) -> None:
        """Return a connection to the pool; its last call must have completed."""
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    @contextmanager
    def use(self, address: Address) -> Iterator[PeerConnection]:
        """Lend a connection; return it to the pool afterwards, or close it after an exception."""
        connection = self.acquire(address)
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        self.release(address, connection)

    def call(self, address: Address, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Make a single call on a pooled connection; see `PeerConnection.call`."""
        with self.use(address) as connection:
            return connection.call(method, timeout_s=timeout_s, **arguments)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [c for connections in self._idle.values() for c in connections]
            self._idle.clear()
        for connection in idle:
            connection.close()
