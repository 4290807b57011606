"""HTTP server for WSGI applications, on cheroot."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from cheroot import wsgi

from halldoor.core.settings import Address
from halldoor.machine import FRONT_RESERVED_SHARE, find_descriptor_end, find_memory_bytes
from halldoor.serverconnection import Connection, WorkerShare
from halldoor.windows import ReceiveWindow

log = structlog.get_logger(part="http")

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]
MAX_HEADER_BYTES = 32_768
"""Longest request header, in bytes."""
KEPT_SHARE = 0.5
"""Share of the descriptors that connections between two requests may take."""
MAX_KEPT = 4_000
"""Most such connections."""
UNREAD_SHARE = 0.2
"""Share of the memory for bytes that have arrived from clients and are not read yet."""
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
    b"Retry-After: 1\r\nHalldoor-Ran: not run\r\n\r\n"
)
SWITCH_INTERVAL_S = 0.0005
"""Longest run of one thread while others wait, in seconds; Python's default of 5 ms is much longer
than a request."""


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that passes the caller's socket on, so that a disconnect can be detected."""

    def get_environ(self) -> Any:
        """Return the WSGI environment.

        The caller's socket is ``halldoor.socket``, and its connection ``halldoor.connection``.
        """
        self.req.open_body()
        environ: Any = super().get_environ()
        environ["halldoor.connection"] = self.req.conn
        environ["halldoor.socket"] = self.req.conn.socket
        return environ


class HttpServer(wsgi.Server):
    """Cheroot server with limits on headers, bodies, connections and idle time.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 makes the kernel choose one.
    app : callable
        WSGI application.
    threads : int
        Worker threads, and thereby requests served at the same time.
    body_limit : int
        Largest request body in bytes.
    timeout_s : float
        Longest time without data from a caller, in seconds.
    memory_mb : float
        Memory that the process may use, in MB; 0: all of the machine's.

    Attributes
    ----------
    share : WorkerShare
        Decides which connections the workers wait for.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        *,
        threads: int = 16,
        body_limit: int = 268_435_456,
        timeout_s: float = 10.0,
        memory_mb: float = 0.0,
    ) -> None:
        super().__init__(
            (address.ip, address.port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=256,
            timeout=max(1, round(timeout_s)),
            server_name="halldoor",
        )
        self.gateway = _Gateway
        self.share = WorkerShare(threads)
        self.ConnectionClass = Connection
        self._descriptor_end = find_descriptor_end(FRONT_RESERVED_SHARE)
        self.window = ReceiveWindow.from_memory(
            UNREAD_SHARE * find_memory_bytes(memory_mb), connections=self._descriptor_end
        )
        self.max_request_header_size = MAX_HEADER_BYTES
        self.max_request_body_size = body_limit
        self.keep_alive_conn_limit = int(min(MAX_KEPT, find_descriptor_end(1 - KEPT_SHARE)))
        self.shutdown_timeout = 2
        sys.setswitchinterval(SWITCH_INTERVAL_S)

    def prepare(self) -> None:
        """Open the port."""
        super().prepare()
        self.window.prepare(self.socket)

    def process_conn(self, conn: Connection) -> None:
        """Let a worker serve a connection; reject one for which no descriptor can be spared."""
        if conn.socket.fileno() < self._descriptor_end:
            super().process_conn(conn)
            return
        with contextlib.suppress(OSError):
            conn.socket.setblocking(False)
            conn.socket.send(REJECTION)
        conn.close()

    @property
    def port(self) -> int:
        """Port in use; valid once the server is prepared."""
        return int(self.bind_addr[1])

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log cheroot's errors at debug level, since most are connections that callers closed."""
        log.debug("The HTTP server reported an error.", detail=msg.strip()[:300], level=level)
