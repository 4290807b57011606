"""Pipelined requests: requests of a connection that are handled beside the one before them.

While a repeatable request without a body is in progress, the connection passes the bytes that
follow it to a `Pipeline`.  Each request that it reads has an h11 parser of its own, since h11 reads
no further head before the answer to the last one.  Answers are held until those before them are
sent.  The first request of a connection is handled by the connection itself, so that a caller that
does not pipeline costs nothing more.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import h11

from halldoor.core.buffers import MAX_EXPECTED_BYTES, BufferKind
from halldoor.gateway.callerrequest import CallerRequest, Handler, Head
from halldoor.gateway.headers import find, is_too_long

if TYPE_CHECKING:
    from halldoor.gateway.caller import CallerConnection

FEED_BYTES = 4096
"""Bytes given to a parser at a time; each parser keeps a copy of those after its request."""
_BODY_FIELDS = (b"content-length", b"transfer-encoding", b"expect", b"upgrade")


class PipelineSettings(NamedTuple):
    """Limits on the pipelined requests of one connection.

    Attributes
    ----------
    max_requests : int
        Most requests in progress at a time; 1 or less: requests are handled one after the other.
    max_held_bytes : int
        Bytes of answers that are held behind an earlier one, from which reading pauses.
    """

    max_requests: int = 8
    max_held_bytes: int = 262_144


class Pipelining(NamedTuple):
    """How the connections of a port handle pipelined requests.

    Attributes
    ----------
    is_repeatable : callable
        Returns whether the request with a head is repeatable by its route.
    read_settings : callable
        Returns the current settings.
    add : callable
        Adds a number to the metric of pipelining with a label.
    """

    is_repeatable: Callable[[Head], bool]
    read_settings: Callable[[], PipelineSettings]
    add: Callable[[str, int], None]

    def allows(self, head: Head) -> bool:
        """Check whether a request may run beside others of its connection."""
        if head.method not in (b"GET", b"HEAD"):
            return False
        return not any(find(head.headers, n) for n in _BODY_FIELDS) and self.is_repeatable(head)

    def find_rest(self, head: Head, parser: h11.Connection) -> bytes:
        """Return the bytes after a request in progress; none if no other may run beside it."""
        rest = parser.trailing_data[0]
        if not rest or parser.their_state is not h11.DONE or self.read_settings().max_requests <= 1:
            return b""
        return rest if self.allows(head) else b""


class PipelinedRequest(CallerRequest):
    """A request that is read while an earlier one of its connection is in progress.

    Parameters
    ----------
    pipeline : Pipeline
        The pipeline that it is part of.
    parser : h11.Connection
        The parser that has read it, which serializes its answer.

    Attributes
    ----------
    turn : asyncio.Event
        Set when all answers before its own are sent.
    is_aborted : bool
        Whether its answer broke off.
    """

    def __init__(
        self, pipeline: Pipeline, head: Head, parser: h11.Connection, requests_ahead: int
    ) -> None:
        super().__init__()
        self._pipeline = pipeline
        self.account = pipeline.connection.account
        self._h11 = parser
        self._head: Head = head
        self.requests_ahead = requests_ahead
        self.turn = asyncio.Event()
        self.is_aborted = False
        self._held: list[bytes] = []
        self.task: asyncio.Task[None] = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        """Handle the request."""
        if not self._pipeline.pipelining.allows(self._head):
            # Its route has changed since it was read.
            await self.turn.wait()
        await self._pipeline.handler(self, self._head)

    @property
    def address(self) -> str:
        """IP address of the caller; empty if the socket does not provide it."""
        return self._pipeline.connection.address

    @property
    def can_continue(self) -> bool:
        """Check whether the answer is complete, and the connection stays open after it."""
        return not self.is_aborted and self._h11.our_state is h11.DONE

    async def read_body(self) -> bytes | None:
        """Return None, since a pipelined request has no body."""
        return None

    async def wait_for_room(self) -> None:
        """Wait for the answers before this one once too much is held, or for the write buffer."""
        if not self.turn.is_set() and self._pipeline.is_holding_enough:
            await self.turn.wait()
        if self.turn.is_set():
            await self._pipeline.connection.wait_until_drained()

    def abort(self) -> None:
        """Close the connection after the answers before this one; the rest of it is dropped.

        The connection is closed, not reset, since answers before it may still be buffered.  Its
        framing tells that it is incomplete: a pipelined request is never of HTTP/1.0.
        """
        self.is_aborted = True
        self._take_held()
        self._pipeline.cancel_behind(self)

    def start_turn(self) -> None:
        """Send what is held; from now on the answer is sent directly."""
        self.turn.set()
        self._pipeline.connection.write(b"".join(self._take_held()))

    def _take_held(self) -> list[bytes]:
        """Remove and return what is held."""
        held, self._held = self._held, []
        self._pipeline.held.add(-sum(map(len, held)))
        return held

    def cancel(self) -> None:
        """Cancel the request and drop what is held of its answer."""
        self._take_held()
        self.task.cancel()

    def _send_bytes(self, data: bytes) -> None:
        """Send bytes if all answers before are sent, else hold them."""
        if self.is_aborted:
            return
        if self.turn.is_set():
            self._pipeline.connection.write(data)
        else:
            self._held.append(data)
            self._pipeline.held.add(len(data))

    def _is_last(self) -> bool:
        """Check whether the connection closes after this answer."""
        return self._pipeline.connection.is_closing and not self._pipeline.has_read_after(self)


class Pipeline:
    """The requests of a connection that were read behind one in progress.

    Parameters
    ----------
    connection : CallerConnection
        The connection; its own request is in progress.
    handler : callable
        Answers one request.
    new_parser : callable
        Creates a parser for a request.

    Attributes
    ----------
    parser : h11.Connection
        The parser of the next request.
    next_head : Head or h11.RemoteProtocolError or None
        The next request if it has to wait until all requests before it are answered, or the fault
        of its head.
    refused_head : Head or None
        Head that is too long.
    head_at : float or None
        When the last bytes of an incomplete head arrived, on the loop's clock.
    held : Buffer
        Counts the answers that are held.
    """

    def __init__(
        self,
        connection: CallerConnection,
        handler: Handler,
        pipelining: Pipelining,
        new_parser: Callable[[], h11.Connection],
    ) -> None:
        self.connection = connection
        self.handler = handler
        self.pipelining = pipelining
        self._new_parser = new_parser
        self.parser = new_parser()
        self.next_head: Head | h11.RemoteProtocolError | None = None
        self.refused_head: Head | None = None
        self.head_at: float | None = None
        self.held = connection.account.open(BufferKind.PIPELINED)
        self._buffer = bytearray()
        self._requests: deque[PipelinedRequest] = deque()
        # The request of the connection itself, which is before all others.
        self._own_count = 1
        self._is_paused = False
        self._is_ended = False

    @property
    def has_read(self) -> bool:
        """Check whether a request was read that is not answered yet."""
        return bool(self._requests) or isinstance(self.next_head, Head)

    @property
    def held_bytes(self) -> int:
        """Size of the answers that are held, in bytes."""
        return self.held.size

    @property
    def is_holding_enough(self) -> bool:
        """Check whether no more answers should be held."""
        most = max(1, self.pipelining.read_settings().max_held_bytes)
        return self.held_bytes >= most or self.connection.account.is_full

    def _has_room(self, count: int) -> bool:
        """Check whether the connection may hold the answers to a number of requests."""
        can_hold = self.connection.account.can_hold(count * MAX_EXPECTED_BYTES)
        return can_hold and not self.is_holding_enough

    def has_read_after(self, request: PipelinedRequest) -> bool:
        """Check whether a request was read after a pipelined one."""
        is_last = not self._requests or self._requests[-1] is request
        return not is_last or isinstance(self.next_head, Head)

    def receive(self, data: bytes) -> None:
        """Read the requests in further bytes from the caller."""
        self._buffer += data
        self.read()

    def read(self) -> None:
        """Read requests and start to handle them, until one has to wait or a limit is reached."""
        while self._can_read():
            try:
                event = self._parse()
            except h11.RemoteProtocolError as exc:
                self._stop_at_fault(exc)
                break
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Request):
                self._is_ended = True
                break
            self.head_at = None
            self._take(event)
        self.connection.set_unread(len(self._buffer))

    def _can_read(self) -> bool:
        """Check whether the next request may be read now; count the start of a pause."""
        if self._is_ended or self.next_head is not None or self.connection.is_closing:
            return False
        running = self._own_count + len(self._requests)
        is_full = running >= self.pipelining.read_settings().max_requests
        is_paused = is_full or (running > 0 and not self._has_room(running + 1))
        if is_paused and not self._is_paused and self.has_bytes:
            self.pipelining.add("paused", 1)
            self._is_paused = True
        elif self._is_paused and not is_paused:
            # The time to complete a head does not include a pause of reading it.
            self.head_at = asyncio.get_running_loop().time()
            self._is_paused = False
        return not is_paused

    @property
    def has_bytes(self) -> bool:
        """Check whether bytes have arrived that no request was read from."""
        return bool(self._buffer or self.parser.trailing_data[0])

    def _parse(self) -> object:
        """Return the next event of the parser, giving it bytes as it needs them."""
        event = self.parser.next_event()
        has_fed = False
        while event is h11.NEED_DATA and self._buffer:
            self.parser.receive_data(bytes(self._buffer[:FEED_BYTES]))
            del self._buffer[:FEED_BYTES]
            has_fed = True
            event = self.parser.next_event()
        if has_fed and event is h11.NEED_DATA:
            self.head_at = asyncio.get_running_loop().time()
        return event

    def _take(self, event: h11.Request) -> None:
        """Start to handle a request, or keep it until all before it are answered."""
        now = asyncio.get_running_loop().time()
        head = Head.from_event(event, now)
        if is_too_long(head.headers, self.connection.sizes.head_limit):
            self.refused_head = head
            self._stop_at_fault(h11.RemoteProtocolError("head too long", error_status_hint=431))
            return
        if event.http_version != b"1.1" or not self.pipelining.allows(head):
            self.next_head = head
            return
        parser = self.parser
        parser.next_event()  # The end of the request, which has no body.
        ahead = self._own_count + len(self._requests)
        self._requests.append(PipelinedRequest(self, head, parser, ahead))
        self.pipelining.add("pipelined", 1)
        self._is_ended = parser.their_state is not h11.DONE
        self.parser = self._new_parser()
        if rest := parser.trailing_data[0]:
            self.parser.receive_data(rest)
            self.head_at = now

    def _stop_at_fault(self, fault: h11.RemoteProtocolError) -> None:
        """Read no further; the fault is answered after the requests before it."""
        self.next_head = fault
        self.pipelining.add("bad head", 1)

    async def answer_all(self) -> bool:
        """Send the answers in order; return False if the connection must close before the end.

        The request of the connection itself must have been answered.
        """
        self._own_count = 0
        self.read()
        while self._requests:
            request = self._requests[0]
            await self.connection.wait_for_caller()
            if request.is_aborted:
                return False
            request.start_turn()
            self.read()
            # Waiting this way does not cancel the request's task with this one.
            await asyncio.wait([request.task])
            if request.task.cancelled():
                return False
            request.task.result()
            if not request.can_continue:
                return False
            self._requests.popleft()
            self.read()
        return not self._is_ended

    def take_next_head(self) -> Head:
        """Return the request that had to wait, as received now; raise the fault of its head."""
        if isinstance(self.next_head, h11.RemoteProtocolError):
            raise self.next_head
        assert self.next_head is not None
        return self.next_head._replace(received_at=asyncio.get_running_loop().time())

    def hand_over(self) -> h11.Connection:
        """Return the parser of the next request with all bytes that were received for it."""
        if self._buffer and not isinstance(self.next_head, h11.RemoteProtocolError):
            self.parser.receive_data(bytes(self._buffer))
            self._buffer.clear()
        return self.parser

    def cancel_behind(self, request: PipelinedRequest) -> None:
        """Cancel the requests behind one that closes the connection, and read no further."""
        self._is_ended = True
        while self._requests and self._requests[-1] is not request:
            self._requests.pop().cancel()
            self.pipelining.add("cancelled", 1)

    def cancel(self, *, is_by_caller: bool) -> None:
        """Cancel all requests.

        Parameters
        ----------
        is_by_caller : bool
            Whether the caller has disconnected, rather than an answer closed the connection.
        """
        self._is_ended = True
        count = 0
        for request in self._requests:
            # One whose turn has come or that broke off is the one that closes the connection.
            count += not (request.turn.is_set() or request.is_aborted)
            request.cancel()
        self._requests.clear()
        if count and not is_by_caller:
            self.pipelining.add("cancelled", count)
