"""Handlers for calls from other entries: forwarded requests, loans, gossip, configuration."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import structlog
from msgspec import msgpack
from returns.result import Failure, Result, Success

from halldoor.core.errors import Reason, Refusal, refuse, refuse_unknown
from halldoor.core.explaining.decision import DecisionLog
from halldoor.core.steering.selector import Selector
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.activity import RunningRequests
from halldoor.entry.cancel import CallerWatcher
from halldoor.entry.configuration import ConfigurationTask
from halldoor.entry.dispatch import Refused, Served
from halldoor.entry.gossip import GossipTask
from halldoor.entry.hall import AdmissionController
from halldoor.entry.local import LocalHall
from halldoor.entry.orders import Orders
from halldoor.entry.outcome import HallRefusal
from halldoor.entry.remote import TO_ISSUER
from halldoor.entry.request import Answer, Body, Cancellation, Request, RequestError
from halldoor.wire.convert import (
    from_thrift_headers,
    to_thrift_headers,
    to_thrift_passed_over,
    to_thrift_refusal,
)
from halldoor.wire.protocol import CHUNK_BYTES, idl
from halldoor.wire.server import ConnectionHandler

log = structlog.get_logger(part="sessions")

MAX_QUEUED_CHUNKS = 4
"""Chunks of a forwarded body that may wait in memory for a slow target."""


class SessionComponents(NamedTuple):
    """Components that handle calls from other entries."""

    room: AdmissionController
    local: LocalHall
    orders: Orders
    gossip: GossipTask
    configuration: ConfigurationTask
    decisions: DecisionLog
    watcher: CallerWatcher
    activity: RunningRequests
    get_snapshot: Callable[[], Snapshot | None]


class _Prepared(NamedTuple):
    """A forwarded request that may run; either function is to be called."""

    send: Callable[[Body], Any]
    cancel: Callable[[], None]


class Session(ConnectionHandler):
    """Handles one connection from another entry; public methods implement the Thrift service.

    Parameters
    ----------
    components : SessionComponents
        The components of this process.
    sock : socket.socket
        The connection, watched so that requests are cancelled when the other side disconnects.
    """

    def __init__(self, components: SessionComponents, sock: socket.socket) -> None:
        self._components = components
        self._sock = sock
        self._cancellation = Cancellation()
        self._answer: Answer | None = None
        self._pieces: Iterator[bytes] = iter(())
        self._body_index = 0
        self._answer_index = 0
        self._chunks: queue.Queue[bytes | None] | None = None
        self._result: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._is_counted = False

    def start(self, head: Any, body: bytes, whole: bool) -> Any:
        """Admit a forwarded request; if its whole body came along, also run it."""
        if self._components.get_snapshot() is None and head.kind != TO_ISSUER:
            return _build_refusal_reply(
                refuse(Reason.STARTING, "This entry is starting. Retry later.")
            )
        self._cancellation = Cancellation()
        request = _to_request(head, self._cancellation)
        if whole:
            with self._components.watcher.watch(self._sock, self._cancellation.cancel):
                prepared = self._prepare(head, request)
                if isinstance(prepared, Failure):
                    return _build_failure_reply(prepared.failure())
                self._mark_running()
                return self._run(prepared.unwrap().send, Body(body))
        prepared = self._prepare(head, request)
        if isinstance(prepared, Failure):
            return _build_failure_reply(prepared.failure())
        return self._start_streamed(prepared.unwrap(), request)

    def _start_streamed(self, prepared: _Prepared, request: Request) -> Any:
        """Run a request in a thread, which gets the body as it arrives."""
        chunks: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_CHUNKS)
        streamed = Body(remainder=self._iterate_body(chunks, request))
        thread = threading.Thread(
            target=lambda: self._result.put(self._run(prepared.send, streamed)),
            name="forwarded",
            daemon=True,
        )
        self._body_index = 0
        self._chunks = chunks
        self._mark_running()
        try:
            thread.start()
        except RuntimeError:
            self._chunks = None
            self._mark_finished()
            prepared.cancel()
            log.exception("A forwarded request could not get a thread.")
            message = "The entry can't start a thread. Retry in a second."
            return _build_refusal_reply(refuse(Reason.NO_ROOM, message))
        return idl.Started(admitted=True, passed_over=[])

    def _prepare(self, head: Any, request: Request) -> Result[_Prepared, HallRefusal]:
        """Reserve a slot if the request is for a target."""
        services = self._components
        if head.kind == TO_ISSUER:
            ticket = head.ticket or ""
            return Success(
                _Prepared(
                    lambda body: services.orders.run_forwarded(request, body, ticket),
                    cancel=lambda: None,
                )
            )
        targets = self._select(head.selector or "")
        is_spill = bool(head.is_spill)
        admitted = services.local.admit(targets, request, is_spill=is_spill)
        return admitted.map(
            lambda admission: _Prepared(
                lambda body: services.local.send_admitted(
                    admission, targets, request, body, is_spill=is_spill
                ),
                cancel=lambda: services.local.cancel_admission(admission),
            )
        )

    def _select(self, selector: str) -> list[str]:
        """List the names of the hall's targets that match a selector."""
        snapshot = self._components.get_snapshot()
        assert snapshot is not None
        wanted = Selector.from_text(selector)
        configuration = snapshot.configuration
        return [
            name
            for name, target in snapshot.hall_targets.items()
            if wanted.matches(configuration.list_labels(target))
        ]

    def _mark_running(self) -> None:
        """Count the request as running, until its answer was read or its connection closed."""
        if not self._is_counted:
            self._is_counted = True
            self._components.activity.add()

    def _mark_finished(self) -> None:
        """Count the request as finished, once."""
        if self._is_counted:
            self._is_counted = False
            self._components.activity.remove()

    def _run(self, run: Callable[[Body], Any], body: Body) -> Any:
        """Run a request and build the reply to the forwarding entry."""
        reply = None
        try:
            result = run(body)
            if isinstance(result, Failure):
                reply = _build_failure_reply(result.failure())
            else:
                reply = self._build_answer_reply(result.unwrap())
            return reply
        except RequestError as exc:
            return _build_refusal_reply(exc.refusal)
        except Exception:
            # The forwarding entry waits for a reply, also if a separate thread runs the request.
            log.exception("A forwarded request failed with an unexpected error.")
            message = "The entry failed. Its log says more."
            return _build_refusal_reply(refuse_unknown(Reason.BROKEN, message))
        finally:
            if reply is None or reply.answer is None or reply.answer.last:
                self._mark_finished()

    def _build_answer_reply(self, value: Served | Answer) -> Any:
        """Build the reply with an answer's head and the first chunk of its body."""
        answer = value.answer if isinstance(value, Served) else value
        self._answer = answer
        self._pieces = iter(answer)
        data, is_last = self._collect_chunk()
        self._answer_index = 1
        head = idl.AnswerHead(
            status=answer.status,
            headers=to_thrift_headers(answer.headers),
            target=answer.target,
            index=0,
            data=data,
            last=is_last,
            attempts=answer.attempts,
        )
        return idl.Started(
            admitted=True, answer=head, passed_over=to_thrift_passed_over(answer.passed_over)
        )

    def _collect_chunk(self) -> tuple[bytes, bool]:
        """Return the next chunk of the answer's body, and whether it is the last."""
        parts: list[bytes] = []
        size = 0
        while size < CHUNK_BYTES:
            piece = next(self._pieces, None)
            if piece is None:
                return b"".join(parts), True
            parts.append(piece)
            size += len(piece)
        return b"".join(parts), False

    def _iterate_body(self, chunks: queue.Queue[bytes | None], request: Request) -> Iterator[bytes]:
        """Yield the chunks of a streamed body as they arrive, until its end or the deadline."""
        while True:
            try:
                data = chunks.get(timeout=max(0.001, request.get_remaining_s()))
            except queue.Empty:
                raise TimeoutError("the body did not come in time") from None
            if request.cancellation.is_cancelled:
                raise ConnectionAbortedError("the caller disconnected")
            if data is None:
                return
            yield data

    def write(self, chunk: Any) -> None:
        """Receive a chunk of a streamed body."""
        if self._chunks is None or chunk.index != self._body_index:
            raise ValueError("chunk out of order")
        self._body_index += 1
        # Block while the target is slow, so that the sender slows down as well.  Once the
        # request has finished, drop the rest of the body.
        while self._result.empty():
            try:
                self._chunks.put(chunk.data, timeout=0.05)
                return
            except queue.Full:
                continue

    def finish(self, count: int) -> Any:
        """Mark a streamed body as complete, and wait for the reply."""
        if self._chunks is None or count != self._body_index:
            raise ValueError("chunks are missing")
        while self._result.empty():
            try:
                self._chunks.put(None, timeout=0.05)
                break
            except queue.Full:
                continue
        self._chunks = None
        with self._components.watcher.watch(self._sock, self._cancellation.cancel):
            return self._result.get()

    def read(self, index: int) -> Any:
        """Return the next chunk of an answer."""
        if self._answer is None or index != self._answer_index:
            raise ValueError("chunk out of order")
        self._answer_index += 1
        try:
            data, is_last = self._collect_chunk()
        except RequestError as exc:
            self._mark_finished()
            return idl.Chunk(
                index=index, data=b"", last=True, refusal=to_thrift_refusal(exc.refusal)
            )
        if is_last:
            self._mark_finished()
        return idl.Chunk(index=index, data=data, last=is_last)

    def close(self) -> None:
        """Cancel the running request, since the connection was closed."""
        self._cancellation.cancel()
        if self._chunks is not None:
            # Wake the thread that waits for a chunk, so that it notices the cancellation.
            self._put_end_marker()
        if self._answer is not None:
            self._answer.close()
        self._mark_finished()

    def _put_end_marker(self) -> None:
        """Put the end marker into the chunk queue, dropping chunks if it is full."""
        chunks = self._chunks
        while chunks is not None:
            try:
                chunks.put_nowait(None)
                return
            except queue.Full:
                try:
                    chunks.get_nowait()
                except queue.Empty:
                    continue

    def exchange(self, gossip: Any) -> Any:
        """Merge a peer's membership records, and return this entry's."""
        return self._components.gossip.answer_exchange(gossip)

    def borrow(self, request: Any) -> Any:
        """Lend a peer a slot; a loan number of 0 means that none is free."""
        duration_s = request.duration_ms / 1000
        loan = self._components.room.lend(request.targets, request.borrower, duration_s)
        if loan is None:
            return idl.Loan(number=0, index=0, target="")
        return idl.Loan(number=loan.number, index=loan.key.number, target=loan.key.target)

    def give_back(self, target: str, number: int, borrower: str, rest_ms: int) -> None:
        """End a loan; its slot can be used again after ``rest_ms``."""
        self._components.room.reclaim_lent_slot(number, borrower, rest_ms / 1000)

    def announce(self, head: Any, sender: str) -> int:
        """Receive a peer's announcement of a revision, and return the revision in force here."""
        return self._components.configuration.receive_announcement(head.revision, sender)

    def get_head(self) -> Any:
        """Return the head in force."""
        return self._components.configuration.get_head_message()

    def get_part(self, digest: str) -> bytes:
        """Return a part of the configuration by digest; empty if it isn't here."""
        return self._components.configuration.get_part(digest)

    def get_ticket(self, operation_id: str, incarnation: str) -> Any:
        """Issue the ticket of an id that this process has claimed."""
        issued = self._components.orders.issue_claimed(operation_id, incarnation)
        if isinstance(issued, Failure):
            return idl.TicketReply(ticket="", refusal=to_thrift_refusal(issued.failure()))
        return idl.TicketReply(ticket=issued.unwrap())

    def find_decision(self, decision_id: str) -> bytes:
        """Return an encoded decision record; empty if it isn't stored here."""
        found = self._components.decisions.find(decision_id)
        return msgpack.encode(found) if found is not None else b""


def _to_request(head: Any, cancellation: Cancellation) -> Request:
    """Build the request from a forwarded request head."""
    return Request(
        id=head.decision_id,
        service=head.service_name,
        operation=head.operation,
        method=head.method,
        path=head.path,
        headers=from_thrift_headers(head.headers),
        deadline=time.monotonic() + head.deadline_ms / 1000,
        length=head.length,
        client=head.client,
        is_repeatable=head.kind != TO_ISSUER and not head.operation_id,
        operation_id=head.operation_id or "",
        cancellation=cancellation,
    )


def _build_failure_reply(failure: HallRefusal | Refused | Refusal) -> Any:
    """Build the refusing reply for a failure of a hall, the dispatcher or the orders."""
    if isinstance(failure, HallRefusal):
        reply = _build_refusal_reply(failure.refusal)
        reply.passed_over = to_thrift_passed_over(failure.passed_over)
        reply.target = failure.target
        return reply
    return _build_refusal_reply(failure.refusal if isinstance(failure, Refused) else failure)


def _build_refusal_reply(refusal: Refusal) -> Any:
    """Build the reply that carries a refusal."""
    return idl.Started(admitted=False, refusal=to_thrift_refusal(refusal), passed_over=[])
