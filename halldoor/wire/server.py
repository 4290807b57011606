"""Server for calls from other entries, with a thread and a handler for each connection."""

from __future__ import annotations

import contextlib
import socket
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

import structlog

from halldoor.core.errors import PeerError
from halldoor.core.settings import Address
from halldoor.machine import find_descriptor_end
from halldoor.threads import RestartingThread
from halldoor.windows import ReceiveWindow
from halldoor.wire.protocol import FrameSocket, answer_call

log = structlog.get_logger(part="wire")

MAX_CONNECTIONS = 512
"""Connections open at once; further ones are closed on arrival."""
CONNECTIONS_SHARE = 0.5
"""Share of the descriptors that they may take."""
IDLE_TIMEOUT_S = 120.0
"""Longest time without a call after which a connection is closed, in seconds."""


class ConnectionHandler(ABC):
    """Handler of the calls on one connection; subclasses define the methods of the IDL."""

    @abstractmethod
    def close(self) -> None:
        """Cancel the request that is still running; called after the connection closed."""


class WireServer:
    """Server that accepts connections from entries and answers their calls.

    Parameters
    ----------
    address : Address
        Address to listen on.
    make_handler : callable
        Builds the handler of a new connection, given its socket.
    window : ReceiveWindow, optional
        Receive windows of the connections.
    """

    def __init__(
        self,
        address: Address,
        make_handler: Callable[[socket.socket], ConnectionHandler],
        *,
        window: ReceiveWindow | None = None,
    ) -> None:
        self._make_handler = make_handler
        self._limit = int(min(MAX_CONNECTIONS, find_descriptor_end(1 - CONNECTIONS_SHARE)))
        self._listener = socket.create_server((address.ip, address.port), backlog=256)
        if window is not None:
            window.prepare(self._listener)
        self.port: int = self._listener.getsockname()[1]
        self._lock = threading.Lock()
        self._open: set[FrameSocket] = set()
        self._is_stopping = False
        self._thread = RestartingThread("wire", self._accept, is_stopping=lambda: self._is_stopping)

    def start(self) -> None:
        """Start accepting connections in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and close every open connection."""
        self._is_stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            frames = list(self._open)
        for frame in frames:
            frame.close()

    def _accept(self) -> None:
        """Accept connections until the server stops."""
        while not self._is_stopping:
            sock, _ = self._listener.accept()
            with self._lock:
                is_full = len(self._open) >= self._limit
            if is_full:
                log.warning(
                    "Closed a new connection from an entry: too many are open.",
                    limit=self._limit,
                )
                sock.close()
                continue
            try:
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
            except RuntimeError:
                sock.close()
                raise

    def _serve(self, sock: socket.socket) -> None:
        """Answer the calls on one connection until it closes."""
        try:
            frames = FrameSocket(sock)
            frames.set_timeout(IDLE_TIMEOUT_S)
        except OSError:  # The peer has closed it already.
            sock.close()
            return
        handler = self._make_handler(sock)
        with self._lock:
            self._open.add(frames)
        try:
            while True:
                frames.send(answer_call(handler, frames.receive()))
        except (EOFError, OSError):
            pass
        except PeerError as exc:
            log.warning("Closed a connection after an invalid call.", error=str(exc))
        except Exception:
            log.exception("A call failed with an exception; closed its connection.")
        finally:
            with self._lock:
                self._open.discard(frames)
            handler.close()
            frames.close()
