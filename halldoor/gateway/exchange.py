"""Send one request to a target, read its answer and classify the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from halldoor.core.buffers import ReservedBuffer
from halldoor.core.settings import Address
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.connection import (
    ConnectionBrokenError,
    ConnectionFailedError,
    HttpConnection,
    NoDescriptorError,
    PeerClosedError,
)
from halldoor.gateway.headers import (
    FORWARDED_BY,
    HeaderNames,
    Headers,
    drop_hop_by_hop,
    find,
    replace,
)
from halldoor.gateway.outcomes import (
    AnswerLost,
    BodyFailed,
    ConnectFailed,
    Connecting,
    NotSent,
    Outcome,
    PartialAnswer,
    Rejected,
    TimedOut,
    WholeAnswer,
    Withdrawn,
)
from halldoor.gateway.pool import CONNECT_TIMEOUT_S, TargetPool

BODY_BUFFER_BYTES = 524_288
"""Bytes of a body that are buffered before sending; the rest of a longer one is streamed.

A request whose body is buffered whole can be retried at another target after a rejection.
"""
ANSWER_BUFFER_BYTES = 262_144
"""Bytes of an answer that are buffered before its head is forwarded.

If the connection breaks within them, the request can still be retried or answered with an error.
"""
LEAST_ANSWER_BUFFER_BYTES = 16_384
"""Bytes that are buffered even if the caller's connection holds its share of all buffers."""
MAX_SURPLUS_ANSWERS = 3
"""Answers of earlier exchanges that are skipped while waiting for a request's own.

A faulty target sends one surplus answer at a time; more mean that the connection is out of sync.
"""
LEAST_WINDOW_BYTES = 16_384
"""Bytes of a body that a target's host takes even if the target reads nothing."""
ANSWER_SLACK_S = 0.1
"""Time to wait beyond the deadline sent to a target, for its last answer to arrive, in seconds.

One round trip between the farthest regions.
"""


class OutgoingRequest(NamedTuple):
    """A request ready to be sent to a target.

    Attributes
    ----------
    body : bytes
        The body, or its buffered beginning.
    rest : CallerConnection or None
        Connection from which the rest of a long body is read; None if `body` is whole.
    expires_at : float
        Deadline for the answer, on the loop's clock.
    buffer : ReservedBuffer or None
        Counts what is buffered of the answer.
    """

    head: Head
    headers: Headers
    attempt_id: bytes
    body: bytes
    rest: CallerConnection | None
    kind: RequestKind
    expires_at: float
    buffer: ReservedBuffer | None = None


class DeadlinePassedError(Exception):
    """The deadline of a request passed before it was sent."""


class TargetExchanger:
    """Sender of requests to targets over kept and new connections.

    Parameters
    ----------
    pool : TargetPool
        Connections.
    names : HeaderNames
        Header names that targets use.
    can_send : callable
        Returns whether a target, by its incarnation, still accepts requests.
    """

    def __init__(
        self, pool: TargetPool, names: HeaderNames, *, can_send: Callable[[str], bool]
    ) -> None:
        self._pool = pool
        self._names = names
        self._can_send = can_send

    def build_headers(self, head: Head, *, team: str, has_teams: bool) -> Headers:
        """Return the caller's header fields that are forwarded, with the team's name added.

        Parameters
        ----------
        team : str
            Team of the request; empty for none.
        has_teams : bool
            Whether the configuration has teams: if so, credentials and a team name sent by the
            caller are not forwarded.
        """
        names = self._names
        not_forwarded = {b"expect", FORWARDED_BY, names.deadline_ms, names.expected_incarnation}
        if has_teams:
            not_forwarded |= {names.credentials, names.team}
        forwarded = drop_hop_by_hop(head.headers, kept=(b"host", names.attempt_id))
        headers = [(n, v) for n, v in forwarded if n.lower() not in not_forwarded]
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
            connecting = connecting._replace(lacked_body=connection.lacks_body)
            if not isinstance(outcome, PartialAnswer):
                # Closes the connection if the exchange did not complete.
                self._pool.release(incarnation, connection)
            is_settled = True
            return outcome, connecting
        except TimeoutError:
            if connection is None or not connection.has_sent:
                return NotSent(), connecting
            if connecting.is_reused:
                # A slow target looks the same as a connection that lost its peer long ago.
                self._pool.close_after_loss(incarnation, is_unacknowledged=False)
            return TimedOut(), connecting._replace(lacked_body=connection.lacks_body)
        except DeadlinePassedError:
            return NotSent(), connecting
        except NoDescriptorError as exc:
            return NotSent(str(exc)), connecting
        except ConnectionFailedError as exc:
            self._pool.close_target(incarnation)
            return ConnectFailed(str(exc), exc.is_refused), connecting
        except ConnectionBrokenError as exc:
            if connecting.is_reused and connection is not None:
                self._pool.close_after_loss(
                    incarnation, is_unacknowledged=connection.has_ack_timeout
                )
            return AnswerLost(str(exc), isinstance(exc, PeerClosedError)), connecting
        finally:
            if connection is not None and not is_settled:
                connection.close()

    async def _exchange(
        self, connection: HttpConnection, outgoing: OutgoingRequest, incarnation: str
    ) -> Outcome:
        """Send and receive concurrently: a target may answer before it has read the whole body."""
        connection.start_exchange(outgoing.buffer)
        sender = asyncio.get_running_loop().create_task(
            self._send_request(connection, outgoing, incarnation)
        )
        sender.add_done_callback(lambda task: _close_if_sending_failed(task, connection))
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
        """Return a kept connection, or open a new one."""
        kept = self._pool.take_idle(incarnation, outgoing.kind)
        if kept is not None:
            return kept
        left_s = outgoing.expires_at - asyncio.get_running_loop().time()
        try:
            return await self._pool.open(address, timeout_s=left_s)
        except ConnectionFailedError as exc:
            if exc.is_timeout and left_s < CONNECT_TIMEOUT_S:
                # The target had less time to accept than a sound one may need.
                raise DeadlinePassedError from exc
            raise

    async def _send_request(
        self, connection: HttpConnection, outgoing: OutgoingRequest, incarnation: str
    ) -> None:
        """Send the head and the body, streaming the rest of a long one from the caller."""
        names = self._names
        left_ms = (outgoing.expires_at - asyncio.get_running_loop().time()) * 1000
        if left_ms <= 0:
            # A suspension of the host may have outlasted the deadline: the caller has given up.
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
        is_long = outgoing.rest is not None or len(outgoing.body) > LEAST_WINDOW_BYTES
        if is_long and not outgoing.kind.is_repeatable:
            # It can't be sent to another target, so nothing is gained by giving this one up.
            connection.set_user_timeout(left_ms / 1000)
        if outgoing.rest is None:
            await connection.send(request, h11.Data(data=outgoing.body), h11.EndOfMessage())
            return
        await connection.send(request, h11.Data(data=outgoing.body))
        while (piece := await outgoing.rest.read_body()) is not None:
            await connection.send(h11.Data(data=piece))
        await connection.send(h11.EndOfMessage())

    async def _read_answer(self, connection: HttpConnection, outgoing: OutgoingRequest) -> Outcome:
        """Read the answer's head and its body up to `ANSWER_BUFFER_BYTES`."""
        response = await self._read_head(connection, outgoing)
        headers = list(response.headers.raw_items())
        fault = self._find_answer_fault(response.status_code, headers, outgoing)
        if fault:
            return AnswerLost(fault)
        body = bytearray()
        while not _is_enough(len(body), outgoing):
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                return self._classify_answer(response, headers, bytes(body))
            body += event.data
        answer = Answer(response.status_code, headers, reason=response.reason)
        return PartialAnswer(answer, connection, [bytes(body)])

    async def _read_head(
        self, connection: HttpConnection, outgoing: OutgoingRequest
    ) -> h11.Response:
        """Read the head of the answer to this request, skipping surplus answers before it.

        A faulty target may answer an earlier request of the connection twice, so late that the
        second answer arrives in place of the next request's answer.
        """
        surplus = 0
        while True:
            response = await connection.receive_head()
            is_own_answer = find(response.headers, self._names.attempt_id) == outgoing.attempt_id
            # h11 derives from the request's method whether an answer has a body, and loses that
            # information after a skipped answer: so answers to HEAD are not skipped.
            can_skip = connection.can_skip_answer() and outgoing.head.method != b"HEAD"
            if is_own_answer or surplus >= MAX_SURPLUS_ANSWERS or not can_skip:
                return response
            surplus += 1
            await connection.skip_answer()

    def _find_answer_fault(self, status: int, headers: Headers, outgoing: OutgoingRequest) -> str:
        """Return why an answer is not valid for this request; empty if it is valid."""
        names = self._names
        if find(headers, names.attempt_id) != outgoing.attempt_id:
            return "answer of another request"
        if find(headers, b"content-encoding"):
            return "encoded answer"
        if 200 <= status < 300 and not find(headers, names.signature):
            return "success without a signature"
        return ""

    def _classify_answer(self, response: h11.Response, headers: Headers, body: bytes) -> Outcome:
        """Classify a complete answer: a rejection that did not run, or an answer to the request."""
        status = response.status_code
        if status == 421:
            return Rejected(status, True)
        if find(headers, self._names.not_run):
            return Rejected(status, False, headers)
        return WholeAnswer(Answer(status, headers, body, response.reason))


def _is_enough(size: int, outgoing: OutgoingRequest) -> bool:
    """Check whether no more of an answer's body should be buffered before its head is forwarded."""
    if size > ANSWER_BUFFER_BYTES:
        return True
    is_full = outgoing.buffer is not None and outgoing.buffer.is_full
    return is_full and size >= LEAST_ANSWER_BUFFER_BYTES


def _close_if_sending_failed(sender: asyncio.Task[None], connection: HttpConnection) -> None:
    """Close the connection if its request could not be sent completely."""
    if _find_sending_failure(sender) is not None:
        connection.close()


def _find_sending_failure(sender: asyncio.Task[None]) -> BaseException | None:
    """Return why sending failed on this side; None if it did not, or if the connection broke.

    After a broken connection the target's answer may still arrive; an incomplete body of the
    caller aborts the exchange.
    """
    if not sender.done() or sender.cancelled():
        return None
    failure = sender.exception()
    return None if isinstance(failure, ConnectionBrokenError) else failure


def _has_body(head: Head) -> bool:
    """Check whether the caller announced a body, even an empty one."""
    return bool(find(head.headers, b"content-length") or find(head.headers, b"transfer-encoding"))
