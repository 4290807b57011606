"""HTTP client for one server with kept connections, used for the metadata store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from halldoor.core.settings import Address
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.connection import (
    ConnectionBrokenError,
    ConnectionFailedError,
    HttpConnection,
)
from halldoor.gateway.headers import Headers, find

CONNECT_S = 1.0
"""Connect timeout, in seconds; one lost packet costs about one second."""
IDLE_LIMIT_S = 5.0
"""Greatest idle time of a kept connection, in seconds."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Greatest size of the body of another entry's answer, unless a call sets its own."""
MAX_HEALTH_BYTES = 65_536
"""Greatest size of the body of a target's health answer, which is not used."""
MAX_IDLE = 2
"""Greatest number of idle connections: one for the watch, one for other calls."""


class HttpAnswer(NamedTuple):
    """A complete answer of the server.

    Attributes
    ----------
    transfer_s : float
        Time between its head and its end, in seconds.
    """

    status: int
    body: bytes
    headers: Headers = []
    transfer_s: float = 0.0


class LostAnswer(NamedTuple):
    """What had arrived of an answer when its call failed or was cancelled.

    Attributes
    ----------
    path : str
        Path of the call, without its query.
    took_s : float
        Time since the call, in seconds.
    """

    path: str
    received_bytes: int
    took_s: float


class HttpCallError(Exception):
    """No complete answer arrived in time; the server may have processed the call.

    Parameters
    ----------
    cause : str
        What went wrong.
    loss : LostAnswer, optional
        What had arrived.
    """

    def __init__(self, cause: str, loss: LostAnswer | None = None) -> None:
        super().__init__(cause)
        self.loss = loss

    @property
    def detail(self) -> str:
        """The cause, with what had arrived."""
        if self.loss is None:
            return str(self)
        return f"{self}, {self.loss.received_bytes} bytes in {self.loss.took_s:.2f} s"


class AnswerTooLargeError(HttpCallError):
    """The answer is larger than the caller allows."""


class HttpClient:
    """Client for calls to one server.

    Parameters
    ----------
    address : Address
        Address of the server.
    connect_s : float, optional
        Connect timeout, in seconds.

    Attributes
    ----------
    on_loss : callable
        Called after each call without a complete answer, also if it was cancelled.
    """

    def __init__(self, address: Address, *, connect_s: float = CONNECT_S) -> None:
        self.on_loss: Callable[[LostAnswer], None] = lambda _: None
        self._address = address
        self._connect_s = connect_s
        self._idle: list[HttpConnection] = []
        self._is_closed = False

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float,
        max_bytes: int = MAX_ANSWER_BYTES,
        arrival: Arrival | None = None,
    ) -> HttpAnswer:
        """Send one request and return its answer.

        Parameters
        ----------
        headers : list, optional
            Additional header fields of the request.
        timeout_s : float
            Timeout of the call, connecting included, in seconds.
        max_bytes : int, optional
            Greatest size of the answer's body, in bytes.
        arrival : Arrival, optional
            Records the answer's progress.  Its body may take longer than `timeout_s` as long as
            enough of it arrives.

        Raises
        ------
        HttpCallError
            If no complete answer of at most `max_bytes` arrived in time, or HTTP can't express the
            request.
        """
        request = self._build_request(method, target, body, headers or [])
        connection: HttpConnection | None = None
        answer: HttpAnswer | None = None
        is_kept = False
        began_at = asyncio.get_running_loop().time()

        def describe_loss() -> LostAnswer:
            """Return what arrived of the answer so far."""
            received = connection.received_bytes if connection is not None else 0
            took_s = asyncio.get_running_loop().time() - began_at
            return LostAnswer(target.partition("?")[0], received, took_s)

        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = await self._connect(timeout_s)
                connection.start_exchange()
                await connection.send(request, h11.Data(data=body), h11.EndOfMessage())
                answer = await _receive_answer(
                    connection, max_bytes=max_bytes, limit=limit, arrival=arrival
                )
            has_room = len(self._idle) < MAX_IDLE and not self._is_closed
            is_kept = has_room and connection.can_be_reused()
            if is_kept:
                connection.mark_idle(asyncio.get_running_loop().time(), idle_limit_s=IDLE_LIMIT_S)
                self._idle.append(connection)
            return answer
        except (TimeoutError, ConnectionFailedError, ConnectionBrokenError) as exc:
            raise HttpCallError(f"{type(exc).__name__} {exc}".strip(), describe_loss()) from exc
        finally:
            if answer is None:
                self.on_loss(describe_loss())
            if connection is not None and not is_kept:
                connection.close()

    async def _connect(self, timeout_s: float) -> HttpConnection:
        """Return a kept connection, or open a new one."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return await HttpConnection.open(
            self._address,
            timeout_s=min(self._connect_s, timeout_s),
            user_timeout_s=CONNECT_S,
        )

    def _build_request(self, method: str, target: str, body: bytes, extra: Headers) -> h11.Request:
        """Build the head of a request; raise HttpCallError if HTTP can't express it."""
        headers: Headers = [
            (b"Host", str(self._address).encode()),
            (b"Content-Length", str(len(body)).encode()),
            *extra,
        ]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        try:
            return h11.Request(method=method, target=target, headers=headers)
        except (h11.LocalProtocolError, ValueError) as exc:
            raise HttpCallError(f"not a request: {exc}") from exc

    def close(self) -> None:
        """Close the idle connections; the others are closed when their calls end."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()


async def _receive_answer(
    connection: HttpConnection,
    *,
    max_bytes: int,
    limit: asyncio.Timeout,
    arrival: Arrival | None,
) -> HttpAnswer:
    """Receive an answer; raise an error if its body is too large."""
    head = await connection.receive_head()
    loop = asyncio.get_running_loop()
    body, began_at = bytearray(), loop.time()
    if arrival is not None:
        arrival.size = _read_length(head)
        arrival.extend(limit)
    try:
        while not isinstance(event := await connection.receive(), h11.EndOfMessage):
            body += event.data
            if arrival is not None:
                arrival.extend(limit, count=len(event.data))
            if len(body) > max_bytes:
                raise AnswerTooLargeError(f"an answer of more than {max_bytes} bytes")
        headers = list(head.headers.raw_items())
        return HttpAnswer(head.status_code, bytes(body), headers, loop.time() - began_at)
    finally:
        # The traceback of an exception would keep it until garbage is collected.
        body.clear()


def _read_length(head: h11.Response) -> int | None:
    """Read the length of an answer's body; None if the head does not state it."""
    length = find(head.headers.raw_items(), b"content-length")
    return int(length) if length else None
