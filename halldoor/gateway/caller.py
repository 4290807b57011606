"""Server side of an HTTP/1.1 connection: callers, look-ups, readiness and metrics.

Each connection is one task, and one more for each pipelined request (`Pipeline`).  When the caller
disconnects, the tasks are cancelled wherever they wait, so that the targets' work for them is
cancelled too.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from halldoor.core.buffers import BufferBudget
from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.callerrequest import (
    Answer,
    BodyTooLongError,
    CallerRequest,
    ErrorReceiver,
    Handler,
    Head,
)
from halldoor.gateway.evictable import EvictableProtocol
from halldoor.gateway.headers import Headers, find
from halldoor.gateway.pieces import PieceReader
from halldoor.gateway.pipeline import Pipeline, Pipelining
from halldoor.gateway.sizes import READ_AHEAD, RequestSizes, skip_confirmation
from halldoor.windows import ReceiveWindow

__all__ = ["Answer", "BodyTooLongError", "CallerConnection", "Handler", "Head"]

IDLE_SLACK_S = 1.0
"""Time beyond the announced idle timeout, in seconds, so that a request already sent arrives."""


class CallerConnection(CallerRequest, EvictableProtocol):
    """Connection accepted from a caller, with the task that answers its requests.

    To its handler, the connection is also the request in progress that was read first.

    Parameters
    ----------
    handler : callable
        Answers one request; it must send a complete answer.
    read_limits : callable
        Returns the current limits on callers.
    connections : set
        Set that contains the connection while it is open.
    is_closing : callable
        Returns whether new connections close after one request.
    pipelining : Pipelining, optional
        How pipelined requests are handled; None: one after the other.
    confirm_limits : callable, optional
        Confirms the limits where a request exceeds them.
    on_error : callable, optional
        Called with the status of each error outside of a request, the head if it is known, and the
        caller's address.
    buffers : BufferBudget, optional
        Counts what is buffered for the connection.
    window : ReceiveWindow, optional
        Receive windows of the port's connections.
    """

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], CallerLimits],
        connections: set[CallerConnection],
        is_closing: Callable[[], bool],
        pipelining: Pipelining | None = None,
        *,
        confirm_limits: Callable[[], Awaitable[None]] = skip_confirmation,
        on_error: ErrorReceiver = lambda *_: None,
        buffers: BufferBudget | None = None,
        window: ReceiveWindow | None = None,
    ) -> None:
        super().__init__()
        if buffers is not None:
            self.charge(buffers)
        if window is not None:
            self._window = window
        self._handler = handler
        self._read_limits = read_limits
        self._connections = connections
        self._confirm = confirm_limits
        self.sizes = RequestSizes(read_limits, self._confirm_limits)
        self._h11 = self.sizes.new_parser()
        self._pieces = PieceReader()
        self._task: asyncio.Task[None] | None = None
        self._arrived_at = math.inf
        self.is_closing = is_closing()
        self.is_busy = False
        self._pipelining = pipelining
        self._pipeline: Pipeline | None = None
        self._ended_pipeline: Pipeline | None = None
        self._has_pipelined = False
        self._has_unread_answers = False
        self._on_error = on_error
        self._last_head: Head | None = None

    @property
    def address(self) -> str:
        """IP address of the caller; empty if the socket does not provide it."""
        peer = self._transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its task."""
        self._transport = transport
        self._connections.add(self)
        self._start_counting()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller, and pause reading when too many are unread."""
        if self.discard_input():
            return
        now = asyncio.get_running_loop().time()
        self.progress.add(len(data), now)
        if self._pipeline is not None:
            self._pipeline.receive(data)
            return
        with contextlib.suppress(h11.RemoteProtocolError):
            self._h11.receive_data(data)
        self._arrived_at = now
        self._unread += len(data)
        if self._unread > READ_AHEAD or (self.is_busy and self._is_full()):
            self._transport.pause_reading()
        if self.is_busy:
            self._start_pipeline()
        self._wake_reader()

    def _start_pipeline(self) -> None:
        """Start to read requests behind the one in progress, if it may run beside others."""
        if self._pipelining is None or self._head is None or self.is_closing:
            return
        if rest := self._pipelining.find_rest(self._head, self._h11):
            self._has_pipelined = True
            self._pipeline = Pipeline(self, self._handler, self._pipelining, self.sizes.new_parser)
            self._pipeline.receive(rest)

    def eof_received(self) -> bool:
        """Handle the end of the caller's stream as a disconnect."""
        self._handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the socket as a disconnect."""
        self._connections.discard(self)
        self._handle_disconnect()
        self._close_buffers()

    def _handle_disconnect(self) -> None:
        """Mark the connection closed and cancel its requests, whose answers are not needed."""
        self._is_closed = True
        self._drained.set()
        self._wake_reader()
        self._cancel_pipeline(is_by_caller=True)
        if self._task is not None and self.is_busy:
            self._task.cancel()

    def _cancel_pipeline(self, *, is_by_caller: bool) -> None:
        """Cancel the pipelined requests."""
        if self._pipeline is not None:
            self._pipeline.cancel(is_by_caller=is_by_caller)

    async def _next_event(self) -> Any:
        """Wait for the next h11 event; return None if the caller has disconnected."""
        while True:
            await self._pieces.give_way()
            if self._is_closed:
                return None
            event = self._pieces.read(self._h11)
            if event is not h11.NEED_DATA:
                return event
            self._unread = 0
            await self._wait_for_body()

    async def read_body(self) -> bytes | None:
        """Wait for the next piece of the body; return None at its end.

        Raises
        ------
        h11.RemoteProtocolError
            If the framing is wrong.
        BodyTooLongError
            If the body or its announced length exceeds the limit.
        """
        await self.sizes.check_body(0)
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        event = await self._next_event()
        if isinstance(event, h11.Data):
            await self.sizes.check_body(len(event.data))
            return event.data
        if event is None:
            # The caller disconnected: wait until this task is cancelled.
            await asyncio.sleep(3600)
        if self._unread:
            # The caller's close is noticed only while reading is not paused.
            self.set_unread(len(self._h11.trailing_data[0]))
        self._start_pipeline()
        return None

    @property
    def is_body_too_long(self) -> bool:
        """Whether the body exceeded the limit."""
        return self.sizes.is_body_too_long

    def _send_bytes(self, data: bytes) -> None:
        """Send serialized bytes of the answer, unless the caller disconnected."""
        self.write(data)

    def _is_last(self) -> bool:
        """Check whether the connection closes after the answer of its own request."""
        has_more = self._pipeline is not None and self._pipeline.has_read
        return self.is_closing and not has_more

    def _is_read(self) -> bool:
        """Check whether the whole request was read, also by its handler."""
        return super()._is_read() and not self._pieces.has_next

    def send_head(self, status: int, headers: Headers, reason: bytes = b"") -> None:
        """Send the head of an answer; one without a length is reset if it doesn't end."""
        if self._h11.their_http_version == b"1.0" and not find(headers, b"content-length"):
            self.set_reset_at_close(True)
        super().send_head(status, headers, reason)

    def finish_answer(self) -> None:
        """Mark the answer as complete on the wire."""
        super().finish_answer()
        self._allow_close()

    async def wait_for_room(self) -> None:
        """Wait while the write buffer is full."""
        await self.wait_until_drained()

    async def wait_for_caller(self) -> None:
        """Wait while whole answers fill the write buffer, for the idle timeout at most."""
        await self.wait_until_taken(limit_s=self._read_limits().idle_timeout_s)

    def abort(self) -> None:
        """Break the answer off, so that it doesn't look complete.

        A reset also drops answers before it that the caller has not read.  If there may be any, its
        framing tells that it is incomplete, except to a caller of HTTP/1.0.
        """
        self._cancel_pipeline(is_by_caller=False)
        if self._has_unread_answers and self._h11.their_http_version != b"1.0":
            self.is_closing = True
            return
        self._is_closed = True
        self._transport.abort()

    def _waits_for_client(self) -> bool:
        """Check whether nothing happens until the client sends more."""
        if self._is_discarding or not self.is_busy:
            return self._pipeline is None
        return not (self._is_read() or self.has_answered or self._pipeline is not None)

    def close_if_idle(self) -> None:
        """Close now if no request is in progress and its answers are delivered, else later."""
        self.is_closing = True
        if self.is_busy or self._h11.our_state is not h11.IDLE or self._unread:
            return
        if self._has_pipelined:
            # The connection's task closes it: more requests may be on their way.
            self._wake_reader()
        elif self.is_settled():
            self._transport.close()

    async def _run(self) -> None:
        """Answer requests until either side closes the connection."""
        try:
            try:
                while not self._is_closed and await self._serve_one():
                    pass
            except h11.RemoteProtocolError as exc:
                await self._answer_protocol_error(exc)
            except Exception as exc:
                self._handle_failure(exc)
            self._cancel_pipeline(is_by_caller=self._is_closed)
            self._pipeline = None
            is_whole = self._h11.our_state is not h11.SEND_BODY
            await self.linger(limit_s=self._read_limits().idle_timeout_s)
            if is_whole:
                self._allow_close()
        finally:
            self._cancel_pipeline(is_by_caller=self._is_closed)
            # `connection_lost` ends the connection, once all bytes are sent.
            self._transport.close()

    async def _serve_one(self) -> bool:
        """Read and answer one request; return False if the connection must close."""
        head = await self._read_head()
        if head is None:
            return False
        self.is_busy = True
        self.has_answered = False
        self._pieces.clear()
        self.sizes.start_body(int(find(head.headers, b"content-length") or 0))
        self._has_unread_answers = not self.is_settled()
        self._head = self._last_head = head
        try:
            await self._handler(self, head)
        finally:
            self.is_busy = False
            self._head = None
        return await self._finish_request()

    async def _read_head(self) -> Head | None:
        """Read the head of the next request; return None if none arrives or it is refused."""
        limits = self._read_limits()
        pipeline, self._ended_pipeline = self._ended_pipeline, None
        self._last_head = None if pipeline is None else pipeline.refused_head
        if pipeline is not None and pipeline.next_head is not None:
            return pipeline.take_next_head()
        head_at = None if pipeline is None else pipeline.head_at
        try:
            async with asyncio.timeout(limits.idle_timeout_s + IDLE_SLACK_S) as timer:
                event = await self._wait_for_request(timer, limits.head_timeout_s, head_at)
        except TimeoutError:
            if self._unread:
                if self._pipelining is not None and self._has_pipelined:
                    self._pipelining.add("bad head", 1)
                self._send_error(408)
            return None
        if not isinstance(event, h11.Request):
            return None
        # Bytes may wait for this task while the process is busy with other requests.
        received_at = min(self._arrived_at, asyncio.get_running_loop().time())
        head = Head.from_event(event, received_at)
        self._last_head = head
        status = await self.sizes.find_head_status(head.headers)
        if status is not None:
            self._send_error(status)
            return None
        return head

    async def _confirm_limits(self) -> None:
        """Confirm the limits; a request whose head was not accepted counts as in progress, too."""
        is_busy, self.is_busy = self.is_busy, True
        try:
            await self._confirm()
        finally:
            self.is_busy = is_busy

    async def _wait_for_request(
        self, timer: asyncio.Timeout, timeout_s: float, head_at: float | None
    ) -> Any:
        """Wait for the next h11 event; set its timer when bytes of it arrive, or `head_at`."""
        loop = asyncio.get_running_loop()
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            begun = len(self._h11.trailing_data[0])
            if self._is_closed or (self._has_pipelined and self.is_closing and not begun):
                return None
            if begun:
                # Bytes that arrived with the request before were not counted.
                self._unread = max(self._unread, begun)
                timer.reschedule((head_at or loop.time()) + timeout_s)
                head_at = None
            await self._wait_for_data()
            event = self._h11.next_event()
        self._unread = 0
        return event

    async def _finish_request(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        if self._is_closed:
            return False
        if self._h11.our_state is not h11.DONE or not self._is_read():
            return False
        pipeline = self._pipeline
        if pipeline is None:
            self._h11.start_next_cycle()
        elif not await self._answer_pipelined(pipeline):
            return False
        # What came with the request was read; only bytes of later ones are left.
        self._unread = len(self._h11.trailing_data[0])
        # A caller that sends requests but reads no answers must not fill the write buffer.
        await self.wait_for_caller()
        self._end_body()
        self.progress.restart(asyncio.get_running_loop().time())
        self._arrived_at = math.inf  # A request that waited for this answer is received now.
        has_next = pipeline is not None and pipeline.has_read
        return not self.is_closing or has_next or bool(self._h11.trailing_data[0])

    async def _answer_pipelined(self, pipeline: Pipeline) -> bool:
        """Answer pipelined requests and take over their parser; False: the connection closes."""
        self.is_busy = True
        try:
            if not await pipeline.answer_all() or self._is_closed:
                return False
        finally:
            self.is_busy = False
        self._h11 = pipeline.hand_over()
        self._pipeline, self._ended_pipeline = None, pipeline
        return True

    async def _answer_protocol_error(self, exc: h11.RemoteProtocolError) -> None:
        """Send an error for invalid HTTP, unless an answer has started already."""
        if not self._is_closed and self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_error(await self.sizes.find_fault_status(exc))

    def _handle_failure(self, exc: Exception) -> None:
        """Report a failure of the entry; answer 500, or break off the answer that has begun."""
        context = {"message": "A connection failed.", "exception": exc, "protocol": self}
        asyncio.get_running_loop().call_exception_handler(context)
        if self._is_closed:
            return
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_error(500)
        else:
            self.abort()

    def _send_error(self, status: int) -> None:
        """Send an error with an empty body outside of a request; mark the connection closing."""
        self.is_closing = True
        self._write_error(status)
        self._on_error(status, self._last_head, self.address)
