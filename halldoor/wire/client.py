"""Connections to other entries: pooled, bounded in time, never reused after a fault."""

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
IDLE_CONNECTIONS = 32


class PeerConnection:
    """One connection to one entry; calls on it go one after the other."""

    def __init__(self, address: Address, *, source_ip: str = "") -> None:
        source = (source_ip, 0) if source_ip else None
        try:
            sock = socket.create_connection((address.ip, address.port), CONNECT_TIMEOUT_S, source)
        except OSError as exc:
            raise PeerError(
                f"Entry at {address} can't be reached: {exc}.",
                remedy="Check that it runs and that the halls are connected.",
            ) from exc
        self._frames = FrameSocket(sock)
        self._sequence = 0
        self.has_sent = False

    def call(self, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Call a method and wait for its reply.

        Raises
        ------
        PeerError
            Where no whole reply came in time; `has_sent` tells whether the peer
            may have seen the call.  The connection must then be closed.
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
                f"Entry did not answer {method}: {exc or 'connection closed'}.",
                remedy="Look at the peer's log; the caller may try again if it is repeatable.",
            ) from exc

    def is_stale(self) -> bool:
        """Check whether the idle connection can't be used any more."""
        return self._frames.is_stale()

    def close(self) -> None:
        """Close the connection; the peer cancels what it was doing for it."""
        self._frames.close()


class PeerPool:
    """Idle connections by address.

    Parameters
    ----------
    source_ip : str, optional
        Address that connections go out from, so that peers and firewalls know the host.
    """

    def __init__(self, *, source_ip: str = "") -> None:
        self._source_ip = source_ip
        self._lock = threading.Lock()
        self._idle: dict[Address, list[PeerConnection]] = {}

    def open(self, address: Address) -> PeerConnection:
        """Return a connection that is known to be open, a new one where none is idle."""
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

    def keep(self, address: Address, connection: PeerConnection) -> None:
        """Keep a connection whose last call came back whole."""
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    @contextmanager
    def use(self, address: Address) -> Iterator[PeerConnection]:
        """Use a connection; it is kept afterwards unless something failed."""
        connection = self.open(address)
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        self.keep(address, connection)

    def call(self, address: Address, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Make a single call."""
        with self.use(address) as connection:
            return connection.call(method, timeout_s=timeout_s, **arguments)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [c for connections in self._idle.values() for c in connections]
            self._idle.clear()
        for connection in idle:
            connection.close()
