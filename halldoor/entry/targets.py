"""Connections to targets: send a request at most once, and detect incomplete answers."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from enum import Enum
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from halldoor.client import HTTPConnection
from halldoor.core.steering.configuration import Target
from halldoor.entry.request import Answer, Body, Request, build_broken_error, keep_end_to_end

PIECE_BYTES = 65_536
PREFETCH_BYTES = 131_072
"""Bytes of a repeatable request's answer read ahead, so that a break in them can be retried."""
STALL_SHARE = 0.4
"""Share of the time left when an answer begins, after which silence counts as a broken answer.

Waiting for the head of the answer may use the whole deadline: a limit on that, too, made
slow requests fail that would have met their deadline.
"""
CONNECT_TIMEOUT_S = 0.5
SHED_HEADER = "Target-Shed"
SHED_MARKER = "not-run"
IDLE_LIMIT_S = 4.0
"""Idle connections older than this are closed; targets close them soon after."""

_FAULTS = (HTTPError, HTTPException, OSError, ValueError)


class Fault(Enum):
    """What is known of a request that a target did not answer."""

    NOT_SENT = "not sent"
    SHED = "shed"
    MAYBE_RAN = "maybe ran"
    BODY = "the caller's body broke off"


class TargetFault(Exception):
    """A target did not answer a request."""

    def __init__(self, fault: Fault, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class TargetClient:
    """Sends requests to targets, each once, without following redirects.

    A connection is reused only after a complete answer, so that a late answer can't be
    taken for another request's.  A request that must not repeat uses a new connection: if the
    target closes an idle one just then, it is unknown whether the request ran.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[HTTPConnection, float]]] = {}

    def send(
        self, target: Target, request: Request, body: Body, *, may_send: Callable[[], bool]
    ) -> tuple[Answer, float]:
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        target : Target
            Target to send to.
        request : Request
            Request to send.
        body : Body
            Its body.
        may_send : callable
            Checks, once connected and just before the first byte, whether sending is allowed.

        Returns
        -------
        tuple of Answer and float
            The answer, and the seconds until its head arrived.

        Raises
        ------
        TargetFault
            If no answer arrived.
        """
        connection = self._open(target, request)
        try:
            if not may_send():
                raise TargetFault(
                    Fault.NOT_SENT, "its slot expired, its target is leaving, or it was cancelled"
                )
            started = time.monotonic()
            # If the answer closes the connection, the library drops its socket reference.
            sock = connection.sock
            response = self._exchange(connection, sock, request, body)
        except BaseException:
            connection.close()
            raise
        answer = self._build_answer(target, connection, sock, response, request)
        return answer, time.monotonic() - started

    def _open(self, target: Target, request: Request) -> HTTPConnection:
        """Return an idle connection for a repeatable request, or connect a new one."""
        if request.is_repeatable:
            connection = self._take_idle(target)
            if connection is not None:
                return connection
        connection = HTTPConnection(
            target.address.ip,
            target.address.port,
            timeout=max(0.001, min(CONNECT_TIMEOUT_S, request.get_remaining_s())),
        )
        try:
            connection.connect()
        except (ConnectTimeoutError, NewConnectionError, OSError) as exc:
            connection.close()
            raise TargetFault(Fault.NOT_SENT, f"can't connect: {type(exc).__name__}") from exc
        return connection

    def _take_idle(self, target: Target) -> HTTPConnection | None:
        """Remove and return an idle connection that the target has not closed."""
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(target.name)
                if not idle:
                    return None
                connection, since = idle.pop()
            is_same = (connection.host, connection.port) == (target.address.ip, target.address.port)
            if is_same and now - since < IDLE_LIMIT_S and connection.is_connected:
                return connection
            connection.close()

    def _exchange(self, connection: HTTPConnection, sock: Any, request: Request, body: Body) -> Any:
        """Send the request with its body and read the head of the answer."""

        def cancel() -> None:
            # close() alone would not wake the thread that waits on the socket.
            sock.shutdown(socket.SHUT_RDWR)

        request.cancellation.attach(cancel)
        try:
            sock.settimeout(max(0.001, request.get_remaining_s()))
            connection.request(
                request.method,
                request.path,
                body=_prepare_body(body, request, connection),
                headers=_build_headers(request, body),
                preload_content=False,
                decode_content=False,
            )
            # The library sets its own timeout on the socket again before it reads.
            connection.timeout = max(0.001, request.get_remaining_s())
            return connection.getresponse()
        except _FAULTS as exc:
            # It is unknown how much of the request arrived, so it may have run.
            raise TargetFault(Fault.MAYBE_RAN, f"no answer: {type(exc).__name__}") from exc
        finally:
            request.cancellation.detach(cancel)

    def _build_answer(
        self,
        target: Target,
        connection: HTTPConnection,
        sock: Any,
        response: urllib3.BaseHTTPResponse,
        request: Request,
    ) -> Answer:
        """Build the answer of a response; raise `TargetFault` if the target shed the request."""
        is_shed = response.status == 503 and response.headers.get(SHED_HEADER) == SHED_MARKER
        if is_shed:
            connection.close()
            raise TargetFault(Fault.SHED, "the target shed it")
        pieces = _read_pieces(response, sock, request)

        def end(is_whole: bool) -> None:
            if is_whole and request.is_repeatable and connection.sock is not None:
                self._keep_idle(target, connection)
            else:
                with contextlib.suppress(*_FAULTS):
                    response.close()
                connection.close()

        return Answer(
            response.status,
            keep_answer_headers(response),
            pieces,
            target=target.name,
            on_end=end,
        )

    def _keep_idle(self, target: Target, connection: HTTPConnection) -> None:
        """Keep an idle connection for the next request, at most one per slot of the target."""
        with self._lock:
            idle = self._idle.setdefault(target.name, [])
            if len(idle) < target.slots:
                idle.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [c for connections in self._idle.values() for c, _ in connections]
            self._idle.clear()
        for connection in idle:
            connection.close()


def keep_answer_headers(response: urllib3.BaseHTTPResponse) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of an answer, with its length if known."""
    headers = keep_end_to_end(response.headers.items())
    length = response.headers.get("Content-Length")
    return headers if length is None else (*headers, ("Content-Length", length))


def _build_headers(request: Request, body: Body) -> dict[str, str]:
    """Build the headers of the request to the target."""
    headers = dict(request.headers)
    headers["Halldoor-Decision"] = request.id
    # The target must stop a little before its slot is used for another request.
    headers["Halldoor-Deadline-Ms"] = str(max(1, int(request.get_remaining_s() * 1000)))
    if request.operation_id:
        headers["Operation-Id"] = request.operation_id
    if body.is_whole and (body.data or request.method not in ("GET", "HEAD")):
        headers["Content-Length"] = str(len(body.data))
    elif request.length >= 0 and not body.is_whole:
        headers["Content-Length"] = str(request.length)
    if not request.is_repeatable:
        headers["Connection"] = "close"
    return headers


def _prepare_body(body: Body, request: Request, connection: HTTPConnection) -> Any:
    """Return the body for the library: bytes, or an iterator that enforces the deadline."""
    if body.is_whole:
        return body.data or None
    return _yield_until_deadline(body, request, connection)


def _yield_until_deadline(
    body: Body, request: Request, connection: HTTPConnection
) -> Iterator[bytes]:
    """Yield the pieces of a streamed body; raise `TimeoutError` after the deadline."""
    for piece in _read_body(body):
        remaining_s = request.get_remaining_s()
        if remaining_s <= 0 or connection.sock is None:
            raise TimeoutError("deadline passed while the body was sent")
        connection.sock.settimeout(remaining_s)
        yield piece


def _read_body(body: Body) -> Iterator[bytes]:
    """Yield the pieces of a body; raise `TargetFault` if it breaks off."""
    try:
        yield from body.read()
    except (OSError, ValueError) as exc:
        # A part of it was sent, so the target may be at work.
        raise TargetFault(Fault.BODY, type(exc).__name__) from exc


def _read_pieces(response: Any, sock: Any, request: Request) -> Iterator[bytes]:
    """Yield the pieces of an answer's body; a truncated body raises `RequestError`."""
    stall_s = request.get_remaining_s() * (STALL_SHARE if request.is_repeatable else 1.0)
    size = 0
    while True:
        if request.cancellation.is_cancelled:
            raise build_broken_error("The caller disconnected during the answer.")
        # The library closes its socket once the last byte has been read.
        remaining_s = request.get_remaining_s()
        limit_s = min(remaining_s, stall_s) if size < PREFETCH_BYTES else remaining_s
        with contextlib.suppress(OSError):
            sock.settimeout(max(0.001, limit_s))
        try:
            piece = response.read1(PIECE_BYTES, decode_content=False)
        except _FAULTS as exc:
            raise build_broken_error(
                f"The target's answer broke off ({type(exc).__name__}). Ask for it again."
            ) from exc
        if not piece:
            return
        size += len(piece)
        yield piece
