"""Serve HTTP with CherryPy's own server, cheroot."""

from __future__ import annotations

import select
import sys
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from cheroot import wsgi
from cheroot.server import HTTPConnection

from halldoor.core.settings import Address

log = structlog.get_logger(part="http")

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]
HEADER_LIMIT = 32_768
LINGER_MS = 3
SWITCH_INTERVAL_S = 0.0005
"""Longest run of one thread while others wait; requests are much shorter than the usual 5 ms."""


class _Gateway(wsgi.Gateway_10):
    """Adds the caller's socket to the environment, so that its end can be seen."""

    def get_environ(self) -> Any:
        """Build the WSGI environment."""
        environ: Any = super().get_environ()
        environ["halldoor.socket"] = self.req.conn.socket
        return environ


class _Connection(HTTPConnection):
    """A connection whose worker waits a moment for the caller's next request.

    Else each request would go from the worker to the thread that watches all
    connections and through the queue to another worker: two thread switches, which
    under the interpreter's lock cost more than a look-up.
    """

    def communicate(self) -> bool:
        """Serve requests as long as they come one upon the other."""
        # Counted without a lock: it is only a hint of how many workers are in use.
        self.server.busy += 1
        try:
            is_open = bool(super().communicate())
            while is_open and self._has_next():
                is_open = bool(super().communicate())
            return is_open
        finally:
            self.server.busy -= 1

    def _has_next(self) -> bool:
        """Check whether the next request has begun; waits only while workers are idle."""
        if self.rfile.has_data():
            return True
        if self.server.busy * 2 > self.server.threads or not self.server.ready:
            return False
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(LINGER_MS))


class HttpServer(wsgi.Server):
    """A cheroot server with bounds on what a caller may send.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 lets the kernel choose.
    app : callable
        WSGI application.
    threads : int
        Requests served at once.
    body_limit : int
        Largest request body in bytes.
    timeout_s : float
        Longest silence of a caller.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        *,
        threads: int = 16,
        body_limit: int = 268_435_456,
        timeout_s: float = 10.0,
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
        self.threads = threads
        self.busy = 0
        self.ConnectionClass = _Connection
        self.max_request_header_size = HEADER_LIMIT
        self.max_request_body_size = body_limit
        self.keep_alive_conn_limit = 4_000
        self.shutdown_timeout = 2
        sys.setswitchinterval(SWITCH_INTERVAL_S)

    @property
    def port(self) -> int:
        """The port in use, once prepared."""
        return int(self.bind_addr[1])

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log what cheroot reports; broken connections are everyday events."""
        log.debug("Connection ended.", detail=msg.strip()[:300], level=level)
