"""Carry one caller's request to a target and its answer back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from halldoor.core.settings import Address
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.connection import (
    ConnectionBrokenError,
    ConnectionFailedError,
    HttpConnection,
    PeerClosedError,
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
SURPLUS_LIMIT = 3
"""Answers of earlier exchanges that are passed over before a request's own is given up.

A target sends one too many at a time; more mean that the connection is out of step.
"""
ANSWER_SLACK_S = 0.1
"""Time beyond the deadline that a target was given, for its own last answer to arrive, in seconds.

One round trip between the farthest regions.
"""


class OutgoingRequest(NamedTuple):
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


class Connecting(NamedTuple):
    """How the connection for a request was had.

    Attributes
    ----------
    took_s : float
        Time until it was there, in seconds.
    is_reused : bool
        It was kept from an earlier exchange.
    """

    took_s: float = 0.0
    is_reused: bool = False


class WholeAnswer(NamedTuple):
    """The target's answer, whole."""

    answer: Answer


class PartialAnswer(NamedTuple):
    """The beginning of a long answer; the rest is still to come."""

    answer: Answer
    connection: HttpConnection


class Rejected(NamedTuple):
    """The target says that it did not run the request."""

    status: int
    is_other_incarnation: bool
    headers: Headers = []


class ConnectFailed(NamedTuple):
    """No connection came up: the request was not sent.

    Attributes
    ----------
    is_refused : bool
        Nobody listens there any more.
    """

    detail: str
    is_refused: bool = False


class AnswerLost(NamedTuple):
    """No answer came back; the request may have run.

    Attributes
    ----------
    is_closed : bool
        The connection ended under the request: the target may have ended too.
    """

    detail: str
    is_closed: bool = False


class TimedOut(NamedTuple):
    """The time for an answer ended; the request may have run."""


class NotSent(NamedTuple):
    """The time for an answer ended before the request was sent."""


class Withdrawn(NamedTuple):
    """The target was withdrawn before the request was sent."""


class BodyFailed(NamedTuple):
    """The caller's body broke off or passed the limit; the target's connection was closed."""

    detail: str


Outcome = (
    WholeAnswer
    | PartialAnswer
    | Rejected
    | ConnectFailed
    | NotSent
    | AnswerLost
    | TimedOut
    | Withdrawn
    | BodyFailed
)


class DeadlinePassedError(Exception):
    """A request's time ended before it was sent."""


class Exchanger:
    """Send requests to targets over kept and new connections.

    Parameters
    ----------
    pool : TargetPool
        Connections.
    names : HeaderNames
        Header names that targets use.
    can_send : callable
        Whether a target, by its incarnation, still takes requests.
    """

    def __init__(
        self, pool: TargetPool, names: HeaderNames, *, can_send: Callable[[str], bool]
    ) -> None:
        self._pool = pool
        self._names = names
        self._can_send = can_send

    def build_headers(self, head: Head, *, team: str, has_teams: bool) -> Headers:
        """Take the caller's fields that go on to the target.

        Parameters
        ----------
        team : str
            Whose the request is; empty for none.
        has_teams : bool
            The configuration has teams: then no key goes on, nor a team's name that a caller sent.
        """
        names = self._names
        own = {b"expect", names.deadline_ms, names.expected_incarnation}
        if has_teams:
            own |= {names.credentials, names.team}
        headers = [(n, v) for n, v in drop_hop_by_hop(head.headers) if n.lower() not in own]
        return [*headers, (names.team, team.encode())] if team else headers

    async def send(
        self, outgoing: OutgoingRequest, incarnation: str, address: Address
    ) -> tuple[Outcome, Connecting]:
        """Send a request to one target and read its answer."""
        connection: HttpConnection | None = None
        connecting = Connecting()
        is_settled = False
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout_at(outgoing.expires_at + ANSWER_SLACK_S):
                connection = await self._connect(outgoing, incarnation, address)
                took_s = asyncio.get_running_loop().time() - started
                connecting = Connecting(took_s, is_reused=connection.exchanges > 0)
                if not self._can_send(incarnation):
                    # Connecting takes up to `CONNECT_TIMEOUT_S`.
                    return Withdrawn(), connecting
                outcome = await self._exchange(connection, outgoing, incarnation)
            if not isinstance(outcome, PartialAnswer):
                # It closes the connection where the exchange did not end cleanly.
                self._pool.release(incarnation, connection)
            is_settled = True
            return outcome, connecting
        except TimeoutError:
            if connection is None or not connection.has_sent:
                return NotSent(), connecting
            if connecting.is_reused:
                # Nobody can tell a slow target from a connection that lost its peer long ago.
                self._pool.note_loss(incarnation, is_silent=False)
            return TimedOut(), connecting
        except ConnectionFailedError as exc:
            self._pool.forget(incarnation)
            return ConnectFailed(str(exc), exc.is_refused), connecting
        except ConnectionBrokenError as exc:
            if connecting.is_reused and connection is not None:
                self._pool.note_loss(incarnation, is_silent=connection.has_fallen_silent)
            return AnswerLost(str(exc), isinstance(exc, PeerClosedError)), connecting
        finally:
            if connection is not None and not is_settled:
                connection.close()

    async def _exchange(
        self, connection: HttpConnection, outgoing: OutgoingRequest, incarnation: str
    ) -> Outcome:
        """Send and receive at once: a target may answer before it has read the whole body."""
        connection.start()
        sender = asyncio.get_running_loop().create_task(
            self._send_request(connection, outgoing, incarnation)
        )
        sender.add_done_callback(lambda task: _end_if_failed(task, connection))
        try:
            return await self._read_answer(connection, outgoing)
        except ConnectionBrokenError:
            failure = _find_sending_failure(sender)
            if failure is None:
                raise
            if isinstance(failure, DeadlinePassedError):
                return NotSent()
            return BodyFailed(repr(failure))
        finally:
            sender.cancel()

    async def _connect(
        self, outgoing: OutgoingRequest, incarnation: str, address: Address
    ) -> HttpConnection:
        """Take a kept connection, or open one."""
        kept = self._pool.take_idle(incarnation, outgoing.kind)
        if kept is not None:
            return kept
        left_s = outgoing.expires_at - asyncio.get_running_loop().time()
        return await self._pool.open(address, timeout_s=left_s)

    async def _send_request(
        self, connection: HttpConnection, outgoing: OutgoingRequest, incarnation: str
    ) -> None:
        """Send head and body."""
        names = self._names
        left_ms = (outgoing.expires_at - asyncio.get_running_loop().time()) * 1000
        if left_ms <= 0:
            # The machine may have been suspended at any moment before: nobody waits any more.
            raise DeadlinePassedError
        headers = [
            *outgoing.headers,
            (names.deadline_ms, str(max(1, int(left_ms))).encode()),
            (names.expected_incarnation, incarnation.encode()),
        ]
        if outgoing.rest is None and (outgoing.body or _has_body(outgoing.head)):
            headers = replace(headers, b"content-length", str(len(outgoing.body)).encode())
        elif outgoing.rest is not None and not find(headers, b"content-length"):
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        request = h11.Request(
            method=outgoing.head.method, target=outgoing.head.target, headers=headers
        )
        if outgoing.rest is None:
            await connection.send(request, h11.Data(data=outgoing.body), h11.EndOfMessage())
            return
        await connection.send(request, h11.Data(data=outgoing.body))
        while (piece := await outgoing.rest.read_body()) is not None:
            await connection.send(h11.Data(data=piece))
        await connection.send(h11.EndOfMessage())

    async def _read_answer(self, connection: HttpConnection, outgoing: OutgoingRequest) -> Outcome:
        """Read the answer's head, and its body up to the limit of the buffer."""
        response = await self._read_head(connection, outgoing)
        headers = list(response.headers.raw_items())
        problem = self._find_problem(response.status_code, headers, outgoing)
        if problem:
            return AnswerLost(problem)
        body = bytearray()
        while len(body) <= ANSWER_BUFFER:
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                return self._judge(response, headers, bytes(body))
            body += event.data
        answer = Answer(response.status_code, headers, bytes(body), response.reason)
        return PartialAnswer(answer, connection)

    async def _read_head(
        self, connection: HttpConnection, outgoing: OutgoingRequest
    ) -> h11.Response:
        """Read the head of the request's own answer; surplus ones before it are passed over.

        A target may answer an earlier request of the connection twice, and so late that the
        second answer arrives where the next one is due.
        """
        surplus = 0
        while True:
            response = await connection.receive()
            if isinstance(response, h11.InformationalResponse):
                continue
            own = find(response.headers, self._names.attempt_id) == outgoing.attempt_id
            # Which body the next answer has, if any, is known by the method; not after skipping.
            can_skip = connection.can_skip_answer() and outgoing.head.method != b"HEAD"
            if own or surplus >= SURPLUS_LIMIT or not can_skip:
                return response
            surplus += 1
            await connection.skip_answer()

    def _find_problem(self, status: int, headers: Headers, outgoing: OutgoingRequest) -> str:
        """Return why an answer can't be the target's to this request; empty where it can."""
        names = self._names
        if find(headers, names.attempt_id) != outgoing.attempt_id:
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
            return Rejected(status, True)
        if find(headers, self._names.not_run):
            return Rejected(status, False, headers)
        return WholeAnswer(Answer(status, headers, body, response.reason))


def get_answer_head(outcome: Outcome) -> tuple[int, Headers]:
    """Return status and header fields of the target's own answer; none where there was none."""
    match outcome:
        case WholeAnswer(answer) | PartialAnswer(answer):
            return answer.status, answer.headers
        case Rejected(status, False, headers):
            return status, headers
    return 0, []


def _end_if_failed(sender: asyncio.Task[None], connection: HttpConnection) -> None:
    """Close a connection whose request could not be sent whole."""
    if _find_sending_failure(sender) is not None:
        connection.close()


def _find_sending_failure(sender: asyncio.Task[None]) -> BaseException | None:
    """Find why a request could not be sent whole; None where the connection is the trouble.

    A target that stops reading may still answer; a caller whose body breaks off ends it all.
    """
    if not sender.done() or sender.cancelled():
        return None
    failure = sender.exception()
    return None if isinstance(failure, ConnectionBrokenError) else failure


def _has_body(head: Head) -> bool:
    """Check whether the caller announced a body, be it an empty one."""
    return bool(find(head.headers, b"content-length") or find(head.headers, b"transfer-encoding"))
