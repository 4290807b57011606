"""Carry one caller's request to a target and its answer back."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import h11

from halldoor.core.route import RequestKind
from halldoor.core.settings import Address
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.connection import (
    ConnectionBrokenError,
    ConnectionFailedError,
    HttpConnection,
)
from halldoor.gateway.headers import HeaderNames, Headers, drop_hop_by_hop, find, replace
from halldoor.gateway.pool import TargetPool

BODY_BUFFER = 524_288
"""Bytes of a body that are read before it is sent on; longer ones stream behind them.

A request whose body is whole can be sent to a second target after the first turned it away.
"""
ANSWER_BUFFER = 262_144
"""Bytes of an answer that are read before its head is passed on.

A break within them is seen in time to try again or to say that the answer was lost.
"""
ANSWER_SLACK_S = 0.1
"""Time beyond the deadline that a target was given, for its own last answer to arrive, in seconds.

One round trip between the farthest regions.
"""


class Sending(NamedTuple):
    """What is sent to a target.

    Attributes
    ----------
    body : bytes
        The body, or its beginning.
    rest : CallerConnection or None
        Where the rest of a long body comes from.
    expires_at : float
        When the time for an answer ends, on the loop's clock.
    """

    head: Head
    headers: Headers
    attempt_id: bytes
    body: bytes
    rest: CallerConnection | None
    kind: RequestKind
    expires_at: float


class Whole(NamedTuple):
    """The target's answer, whole."""

    answer: Answer


class Streaming(NamedTuple):
    """The beginning of a long answer; the rest is still to come."""

    answer: Answer
    connection: HttpConnection


class TurnedAway(NamedTuple):
    """The target says that it did not run the request."""

    status: int
    is_other_incarnation: bool


class Unreached(NamedTuple):
    """No connection came up: the request was not sent."""

    detail: str


class Lost(NamedTuple):
    """No answer came back; the request may have run."""

    detail: str


class Expired(NamedTuple):
    """The time for an answer ended; the request may have run."""


Outcome = Whole | Streaming | TurnedAway | Unreached | Lost | Expired


class Exchanger:
    """Send requests to targets over kept and new connections.

    Parameters
    ----------
    pool : TargetPool
        Connections.
    names : HeaderNames
        Header names that targets use.
    """

    def __init__(self, pool: TargetPool, names: HeaderNames) -> None:
        self._pool = pool
        self._names = names

    def build_headers(self, head: Head) -> Headers:
        """Take the caller's fields that go on to the target."""
        own = {b"expect", self._names.deadline_ms, self._names.expected_incarnation}
        return [(n, v) for n, v in drop_hop_by_hop(head.headers) if n.lower() not in own]

    async def send(self, sending: Sending, incarnation: str, address: Address) -> Outcome:
        """Send a request to one target and read its answer."""
        loop = asyncio.get_running_loop()
        connection: HttpConnection | None = None
        is_settled = False
        try:
            async with asyncio.timeout_at(sending.expires_at + ANSWER_SLACK_S):
                connection = await self._connect(sending, incarnation, address)
                connection.start()
                sender = loop.create_task(self._send_request(connection, sending, incarnation))
                sender.add_done_callback(lambda task: _end_if_failed(task, connection))
                try:
                    outcome = await self._read_answer(connection, sending)
                finally:
                    sender.cancel()
            if not isinstance(outcome, Streaming):
                # It closes the connection where the exchange did not end cleanly.
                self._pool.give_back(incarnation, connection)
            is_settled = True
            return outcome
        except TimeoutError:
            return Expired()
        except ConnectionFailedError as exc:
            return Unreached(str(exc))
        except ConnectionBrokenError as exc:
            return Lost(str(exc))
        finally:
            if connection is not None and not is_settled:
                connection.close()

    async def _connect(
        self, sending: Sending, incarnation: str, address: Address
    ) -> HttpConnection:
        """Take a kept connection, or open one.

        What may run once goes over a new connection: nothing on it can be left over from
        another exchange, and it was not closed while it rested.
        """
        if sending.kind is RequestKind.REPEATABLE:
            kept = self._pool.take_idle(incarnation)
            if kept is not None:
                return kept
        left_s = sending.expires_at - asyncio.get_running_loop().time()
        return await self._pool.open(address, timeout_s=left_s)

    async def _send_request(
        self, connection: HttpConnection, sending: Sending, incarnation: str
    ) -> None:
        """Send head and body."""
        names = self._names
        left_ms = (sending.expires_at - asyncio.get_running_loop().time()) * 1000
        headers = [
            *sending.headers,
            (names.deadline_ms, str(max(1, int(left_ms))).encode()),
            (names.expected_incarnation, incarnation.encode()),
        ]
        if sending.rest is None and (sending.body or _has_body(sending.head)):
            headers = replace(headers, b"content-length", str(len(sending.body)).encode())
        elif sending.rest is not None and not find(headers, b"content-length"):
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        request = h11.Request(
            method=sending.head.method, target=sending.head.target, headers=headers
        )
        if sending.rest is None:
            await connection.send(request, h11.Data(data=sending.body), h11.EndOfMessage())
            return
        await connection.send(request, h11.Data(data=sending.body))
        while (piece := await sending.rest.read_body()) is not None:
            await connection.send(h11.Data(data=piece))
        await connection.send(h11.EndOfMessage())

    async def _read_answer(self, connection: HttpConnection, sending: Sending) -> Outcome:
        """Read the answer's head, and its body up to the limit of the buffer."""
        response = await connection.receive()
        while isinstance(response, h11.InformationalResponse):
            response = await connection.receive()
        headers = list(response.headers.raw_items())
        problem = self._find_problem(response.status_code, headers, sending)
        if problem:
            return Lost(problem)
        body = bytearray()
        while len(body) <= ANSWER_BUFFER:
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                return self._judge(response, headers, bytes(body))
            body += event.data
        answer = Answer(response.status_code, headers, bytes(body), response.reason)
        return Streaming(answer, connection)

    def _find_problem(self, status: int, headers: Headers, sending: Sending) -> str:
        """Say why an answer can't be the target's to this request; empty where it can."""
        names = self._names
        if find(headers, names.attempt_id) != sending.attempt_id:
            return "answer of another request"
        if find(headers, b"content-encoding"):
            return "encoded answer"
        if 200 <= status < 300 and not find(headers, names.signature):
            return "success without a signature"
        return ""

    def _judge(self, response: h11.Response, headers: Headers, body: bytes) -> Outcome:
        """Tell an answer from a request that was turned away."""
        status = response.status_code
        if status == 421:
            return TurnedAway(status, True)
        if find(headers, self._names.not_run):
            return TurnedAway(status, False)
        return Whole(Answer(status, headers, body, response.reason))


def _end_if_failed(sender: asyncio.Task[None], connection: HttpConnection) -> None:
    """Close a connection whose request could not be sent whole.

    A target that stops reading may still answer; a caller whose body breaks off ends it all.
    """
    if sender.cancelled():
        return
    failure = sender.exception()
    if failure is not None and not isinstance(failure, ConnectionBrokenError):
        connection.close()


def _has_body(head: Head) -> bool:
    """Tell whether the caller announced a body, be it an empty one."""
    return bool(find(head.headers, b"content-length") or find(head.headers, b"transfer-encoding"))
