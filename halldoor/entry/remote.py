"""Forward requests through entries of other halls."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from typing import Any

from returns.result import Failure, Result, Success

from halldoor.core.errors import PeerError, Ran, Reason, Refusal, refuse, refuse_unknown
from halldoor.core.steering.configuration import EntryHost
from halldoor.entry.outcome import HallRefusal
from halldoor.entry.request import (
    Answer,
    Body,
    Request,
    RequestError,
    build_broken_error,
    keep_end_to_end,
)
from halldoor.wire.client import PeerConnection, PeerPool
from halldoor.wire.convert import (
    from_thrift_headers,
    from_thrift_passed_over,
    from_thrift_refusal,
    to_thrift_headers,
)
from halldoor.wire.protocol import CHUNK_BYTES, idl

TO_TARGET, TO_ISSUER = 0, 1
"""Kinds of forwarded request: to a target of the hall, or to the issuer of its ticket."""
AVOID_S = 2.0
"""Seconds for which an unreachable entry is tried last."""
LATE_REFUSAL_S = 0.3
"""Seconds after the deadline in which the other entry's refusal may still arrive."""


class RequestForwarder:
    """Forwards requests to other entries, once each.

    Parameters
    ----------
    peers : PeerPool
        Connections to other entries.
    """

    def __init__(self, peers: PeerPool) -> None:
        self._peers = peers
        self._lock = threading.Lock()
        self._avoid_until: dict[str, float] = {}

    def order_by_reachability(self, entries: list[EntryHost]) -> list[EntryHost]:
        """Order entries so that recently unreachable ones come last."""
        now = time.monotonic()
        with self._lock:
            return sorted(entries, key=lambda e: self._avoid_until.get(e.name, 0.0) > now)

    def send(
        self,
        entries: list[EntryHost],
        request: Request,
        body: Body,
        *,
        kind: int,
        selector: str = "",
        ticket: str = "",
        is_spill: bool = False,
    ) -> Result[Answer, HallRefusal]:
        """Forward a request to the first of the entries that can be connected to.

        Parameters
        ----------
        entries : list of EntryHost
            Candidates; the next is tried only while nothing was sent.
        request : Request
            What to forward.
        body : Body
            Its body.
        kind : int
            `TO_TARGET` or `TO_ISSUER`.
        selector : str, optional
            Selects the allowed targets.
        ticket : str, optional
            The order's ticket.
        is_spill : bool, optional
            Whether the request comes from another region.
        """
        head = _build_head(request, kind=kind, selector=selector, ticket=ticket, is_spill=is_spill)
        refusal = refuse(Reason.BROKEN, "No entry of the hall can be reached. Retry later.")
        for entry in self.order_by_reachability(entries):
            try:
                connection = self._peers.acquire(entry.wire)
            except PeerError as exc:
                self._mark_unreachable(entry)
                refusal = refuse(Reason.BROKEN, exc.message + " Retry in a second.")
                continue
            return self._exchange(entry, connection, head, request, body)
        return Failure(HallRefusal(refusal, []))

    def _mark_unreachable(self, entry: EntryHost) -> None:
        """Try an entry last for `AVOID_S`."""
        with self._lock:
            self._avoid_until[entry.name] = time.monotonic() + AVOID_S

    def _exchange(
        self,
        entry: EntryHost,
        connection: PeerConnection,
        head: Any,
        request: Request,
        body: Body,
    ) -> Result[Answer, HallRefusal]:
        """Send one request over one connection and read the start of its answer."""
        request.cancellation.attach(connection.close)
        is_kept = False
        try:
            started = connection.call(
                "start",
                timeout_s=request.get_remaining_s() + LATE_REFUSAL_S,
                head=head,
                body=body.data if body.is_whole else b"",
                whole=body.is_whole,
            )
            if started.admitted and not body.is_whole:
                started = self._send_body(connection, request, body)
            if started.refusal is not None:
                refusal = from_thrift_refusal(started.refusal)
                passed_over = from_thrift_passed_over(started.passed_over)
                self._peers.release(entry.wire, connection)
                is_kept = True
                return Failure(HallRefusal(refusal, passed_over, started.target or "", 0))
            is_kept = True
            return Success(self._build_answer(entry, connection, started, request))
        except PeerError as exc:
            if not request.cancellation.is_cancelled:
                self._mark_unreachable(entry)
            return Failure(HallRefusal(_to_refusal(exc, request), []))
        finally:
            request.cancellation.detach(connection.close)
            if not is_kept:
                connection.close()

    def _send_body(self, connection: PeerConnection, request: Request, body: Body) -> Any:
        """Send a streamed body in chunks, then wait for the answer."""
        index = 0
        for piece in body.read():
            for start in range(0, len(piece), CHUNK_BYTES):
                chunk = idl.Chunk(index=index, data=piece[start : start + CHUNK_BYTES], last=False)
                connection.call("write", timeout_s=request.get_remaining_s(), chunk=chunk)
                index += 1
        return connection.call(
            "finish", timeout_s=request.get_remaining_s() + LATE_REFUSAL_S, count=index
        )

    def _build_answer(
        self, entry: EntryHost, connection: PeerConnection, started: Any, request: Request
    ) -> Answer:
        """Build the answer from the peer's reply; its body is read from the connection."""
        head = started.answer
        pieces = _read_pieces(connection, head, request)

        def end(is_whole: bool) -> None:
            if is_whole:
                self._peers.release(entry.wire, connection)
            else:
                connection.close()

        answer = Answer(
            head.status,
            from_thrift_headers(head.headers),
            pieces,
            target=head.target or "",
            on_end=end,
        )
        answer.passed_over = from_thrift_passed_over(started.passed_over)
        answer.attempts = head.attempts or 1
        return answer


def _build_head(request: Request, *, kind: int, selector: str, ticket: str, is_spill: bool) -> Any:
    """Build the message that opens a forwarded request."""
    return idl.RequestHead(
        kind=kind,
        decision_id=request.id,
        service_name=request.service,
        operation=request.operation,
        method=request.method,
        path=request.path,
        headers=to_thrift_headers(keep_end_to_end(request.headers)),
        deadline_ms=max(1, int(request.get_remaining_s() * 1000)),
        length=request.length,
        client=request.client,
        selector=selector,
        ticket=ticket,
        operation_id=request.operation_id,
        is_spill=is_spill,
    )


def _read_pieces(connection: PeerConnection, head: Any, request: Request) -> Iterator[bytes]:
    """Yield the body of a forwarded answer; a missing or unordered chunk raises."""
    index, data, is_last = head.index or 0, head.data or b"", head.last
    while True:
        if data:
            yield data
        if is_last:
            return
        index += 1
        try:
            chunk = connection.call(
                "read", timeout_s=request.get_remaining_s() + LATE_REFUSAL_S, index=index
            )
        except PeerError as exc:
            raise build_broken_error(f"The answer broke off between halls: {exc.message}") from exc
        if chunk.refusal is not None:
            raise RequestError(from_thrift_refusal(chunk.refusal))
        if chunk.index != index:
            raise build_broken_error(
                "A chunk of another answer arrived, so this answer is discarded."
            )
        data, is_last = chunk.data or b"", chunk.last


def _to_refusal(exc: PeerError, request: Request) -> Refusal:
    """Build the refusal for a peer's error; the peer may already have sent the request."""
    retry_after_s = 1.0 if request.is_repeatable else 0.0
    if request.cancellation.is_cancelled:
        return refuse_unknown(Reason.CANCELLED, "The caller disconnected.")
    if request.has_expired():
        message = "The other hall did not answer in time. Allow more time for it."
        return refuse_unknown(Reason.DEADLINE, message, retry_after_s=retry_after_s)
    message = f"The other hall broke off: {exc.message}"
    return refuse_unknown(Reason.BROKEN, message, retry_after_s=retry_after_s)


def is_final(refusal: Refusal, request: Request) -> bool:
    """Check whether a refusal forbids another try, since that might run the request twice."""
    return refusal.ran == Ran.UNKNOWN and not request.is_repeatable
