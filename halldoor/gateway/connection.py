"""Client side of an HTTP/1.1 connection to a target or the metadata store.

h11 parses and checks the framing; this module owns the socket.  A connection is reused only if
both sides completed the exchange and no further bytes have arrived since.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from typing import Any

import h11

from halldoor.core.buffers import ReservedBuffer
from halldoor.core.decoding import DecodingError, parse_int
from halldoor.core.settings import Address
from halldoor.gateway.flow import FlowProtocol
from halldoor.gateway.headers import find
from halldoor.gateway.pieces import PieceReader

READ_LIMIT = 16_384
"""Unread bytes above which reading from the socket pauses; the last read adds `READ_BYTES`."""
HEAD_LIMIT = 65_536
"""Greatest length of an answer's head, in bytes."""
MAX_TIMEOUT_S = 10**9
"""Greatest time-out of an idle connection that is read from an answer, in seconds."""
MAX_INFORMATIONAL_ANSWERS = 16
"""Informational answers (1xx) that are skipped; a server that sends more is faulty."""

MAX_STATUS = 599
"""Greatest status of an answer; h11 rejects those below 100."""


class ConnectionFailedError(Exception):
    """The connection could not be opened; nothing was sent.

    Parameters
    ----------
    cause : str
        Name of the error class.
    is_refused : bool, optional
        Whether no process listens at the address.
    is_timeout : bool, optional
        Whether the time limit passed.
    """

    def __init__(self, cause: str, *, is_refused: bool = False, is_timeout: bool = False) -> None:
        super().__init__(cause)
        self.is_refused = is_refused
        self.is_timeout = is_timeout


class NoDescriptorError(ConnectionFailedError):
    """This process has no descriptor for the connection; its target may be sound."""

    def __init__(self) -> None:
        super().__init__("no free descriptor")


class ConnectionBrokenError(Exception):
    """The connection broke, or the peer violated HTTP; a sent request may have run."""


class PeerClosedError(ConnectionBrokenError):
    """The connection closed before the answer was complete; the peer may have crashed."""


class HttpConnection(FlowProtocol):
    """Client side of an HTTP/1.1 connection.

    Attributes
    ----------
    exchanges : int
        Number of exchanges started on the connection, including the current one.
    received_bytes : int
        Bytes received in the current exchange.
    has_sent : bool
        Whether any bytes of the current exchange were sent.
    idle_since : float
        When the last exchange completed, on the loop's clock.
    idle_limit_s : float
        Greatest idle time after which the connection is still reused, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self._error: BaseException | None = None
        self._is_closed = False
        self._is_idle = True
        self._peer_will_close = False
        self._user_timeout_s = 0.0
        self._has_long_timeout = False
        self._unread = 0
        self._pieces = PieceReader()
        self._buffer: ReservedBuffer | None = None
        self._counted = 0
        self.exchanges = 0
        self.received_bytes = 0
        self.has_sent = False
        self.idle_since = 0.0
        self.idle_limit_s = 0.0

    @classmethod
    async def open(
        cls, address: Address, *, timeout_s: float, user_timeout_s: float, local_ip: str = ""
    ) -> HttpConnection:
        """Open a connection.

        Parameters
        ----------
        timeout_s : float
            Timeout of connecting, in seconds.
        user_timeout_s : float
            Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), in seconds.
        local_ip : str, optional
            IP address to connect from; empty: the kernel chooses it.

        Raises
        ------
        ConnectionFailedError
            If the connection could not be opened.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(
                    cls,
                    address.ip,
                    address.port,
                    local_addr=(local_ip, 0) if local_ip else None,
                )
        except (OSError, TimeoutError, OverflowError, ValueError) as exc:
            if isinstance(exc, OSError) and exc.errno in (errno.EMFILE, errno.ENFILE):
                raise NoDescriptorError from exc
            # The last two are of addresses that can't be of any host.
            raise ConnectionFailedError(
                type(exc).__name__,
                is_refused=isinstance(exc, ConnectionRefusedError),
                is_timeout=isinstance(exc, TimeoutError),
            ) from exc
        protocol._user_timeout_s = user_timeout_s
        protocol._set_socket_options(user_timeout_s)
        return protocol

    @property
    def descriptor(self) -> int:
        """Number of the socket's descriptor; negative if it is closed."""
        return int(self._transport.get_extra_info("socket").fileno())

    def set_user_timeout(self, timeout_s: float) -> None:
        """Set the longest time that sent bytes may stay unacknowledged, until the exchange ends.

        The kernel applies it as well while the peer acknowledges, but reads nothing (RFC 5482).
        """
        self._has_long_timeout = True
        self._set_user_timeout(timeout_s)

    def _set_user_timeout(self, timeout_s: float) -> None:
        """Set the socket option."""
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # The peer has closed the connection.
            milliseconds = max(1, int(timeout_s * 1000))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def _set_socket_options(self, user_timeout_s: float) -> None:
        """Set TCP options that detect dead peers: user timeout, and keep-alive while idle."""
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        ]
        for level, option, value in options:
            sock.setsockopt(level, option, value)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; close the connection if they arrive outside an exchange."""
        if self._is_idle:
            self.close()
            return
        self.received_bytes += len(data)
        self._unread += len(data)
        self._count(len(data))
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._error = exc
        if self._unread > READ_LIMIT or self._is_full():
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the peer closed its side of the connection."""
        if self._is_idle:
            self._is_closed = True
            return False
        try:
            self._h11.receive_data(b"")
        except h11.RemoteProtocolError as exc:
            self._error = exc
        self._is_closed = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the socket is closed, and wake waiting readers and writers."""
        if exc is not None and self._error is None:
            self._error = exc
        self._is_closed = True
        self._drained.set()
        self._wake_reader()

    def start_exchange(self, buffer: ReservedBuffer | None = None) -> None:
        """Start an exchange: one request and its answer.

        Parameters
        ----------
        buffer : ReservedBuffer, optional
            Counts what is buffered of the answer, until the exchange ends or it is passed on.
        """
        self._is_idle = False
        self.has_sent = False
        self.received_bytes = self._unread = 0
        self.exchanges += 1
        self._pieces.clear()
        self._buffer = buffer

    def _is_full(self) -> bool:
        """Check whether little more should be buffered."""
        return self._buffer is not None and self._buffer.is_full

    def _count(self, count: int) -> None:
        """Add a number of bytes to those that are buffered of the answer."""
        if self._buffer is not None:
            self._counted += count
            self._buffer.add(count)

    def pass_on(self, data: bytes) -> None:
        """Count a part of the answer's body as no longer buffered."""
        self._count(-len(data))

    def _stop_counting(self) -> None:
        """Count nothing of the answer as buffered any longer."""
        self._count(-self._counted)
        self._buffer = None

    @property
    def is_reused(self) -> bool:
        """Check whether an earlier exchange used this connection."""
        return self.exchanges > 1

    @property
    def lacks_body(self) -> bool:
        """Check whether the peer takes the body of a request faster than it is sent."""
        return self._h11.our_state is h11.SEND_BODY and self._drained.is_set()

    @property
    def has_ack_timeout(self) -> bool:
        """Check whether the connection failed because the peer stopped acknowledging bytes."""
        return isinstance(self._error, TimeoutError)

    async def send(self, *events: Any) -> None:
        """Send h11 events in one write.

        Raises
        ------
        ConnectionBrokenError
            If the socket is closed.
        """
        if self._is_closed:
            raise PeerClosedError("closed while sending")
        data = b"".join(self._h11.send(event) or b"" for event in events)
        if data:
            self.has_sent = True
            self._transport.write(data)
        await self._drained.wait()

    async def receive(self) -> Any:
        """Wait for the next h11 event of the answer.

        Raises
        ------
        ConnectionBrokenError
            If the connection broke before the answer was complete, or the framing of its body
            outweighs the content by far.
        """
        while True:
            await self._pieces.give_way()
            try:
                event: Any = self._pieces.read(self._h11)
            except h11.RemoteProtocolError as exc:
                if self._is_closed:
                    raise PeerClosedError("closed before the answer was whole") from exc
                raise ConnectionBrokenError(f"not HTTP: {exc}") from exc
            if event is h11.NEED_DATA:
                # Only framing is left.
                self._count(-self._unread)
                self._unread = 0
                if self._error is not None or self._is_closed:
                    raise PeerClosedError("closed before the answer was whole")
                await self._wait_for_data()
                continue
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise PeerClosedError("closed without an answer")
            if isinstance(event, h11.Data):
                self._unread -= len(event.data)
                if self._pieces.has_excessive_framing:
                    raise ConnectionBrokenError("more framing than content")
            elif isinstance(event, h11.Response):
                self._read_keep_alive(event)
            return event

    async def receive_head(self) -> h11.Response:
        """Wait for the head of the answer, and skip informational answers before it.

        Raises
        ------
        ConnectionBrokenError
            If the connection broke before, there are too many informational answers, or the status
            is not one of HTTP (RFC 9110, 15).
        """
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            head = await self.receive()
            if isinstance(head, h11.InformationalResponse):
                continue
            if head.status_code > MAX_STATUS:
                raise ConnectionBrokenError(f"status {head.status_code}")
            return head
        raise ConnectionBrokenError("too many informational answers")

    def can_skip_answer(self) -> bool:
        """Check whether a surplus answer to an earlier exchange can be skipped.

        The request must be sent completely: h11 accepts another answer only after that.
        """
        return self.is_reused and self._h11.our_state is h11.DONE

    async def skip_answer(self) -> None:
        """Discard the rest of an answer whose head was received, to read the next answer.

        The connection can't be reused afterwards.

        Raises
        ------
        ConnectionBrokenError
            If the connection broke before the answer was complete.
        """
        while not isinstance(event := await self.receive(), h11.EndOfMessage):
            self.pass_on(event.data)
        self._pieces.clear()
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError as exc:
            raise ConnectionBrokenError(f"closed after another's answer: {exc}") from exc

    def _read_keep_alive(self, response: h11.Response) -> None:
        """Read from the answer whether and how long the peer keeps the connection open."""
        self._peer_will_close = b"close" in find(response.headers, b"connection").lower()
        for parameter in find(response.headers, b"keep-alive").lower().split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name == b"timeout":
                with contextlib.suppress(DecodingError):
                    timeout_s = parse_int(value, lowest=0, highest=MAX_TIMEOUT_S, origin="timeout")
                    # The peer may close up to a second before the timeout it announced.
                    self.idle_limit_s = max(0.0, timeout_s - 1.0)

    def can_be_reused(self) -> bool:
        """Check whether both sides completed the exchange and the connection stays open."""
        return (
            not self._is_closed
            and not self._peer_will_close
            and self._error is None
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )

    def mark_idle(self, now: float, *, idle_limit_s: float) -> None:
        """Prepare for the next exchange and start the idle time.

        Parameters
        ----------
        idle_limit_s : float
            Greatest idle time, in seconds; a shorter one announced by the peer takes precedence.
        """
        self._h11.start_next_cycle()
        self._stop_counting()
        if self._has_long_timeout:
            self._has_long_timeout = False
            self._set_user_timeout(self._user_timeout_s)
        # While reading is paused, the peer's close would not be noticed.
        self._transport.resume_reading()
        self._is_idle = True
        self.idle_since = now
        self.idle_limit_s = min(idle_limit_s, self.idle_limit_s or idle_limit_s)

    def is_usable(self, now: float) -> bool:
        """Check whether an idle connection is open and within its idle limit."""
        return (
            not self._is_closed
            and not self._transport.is_closing()
            and now - self.idle_since < self.idle_limit_s
        )

    def close(self) -> None:
        """Abort the connection, so that the peer can cancel its work."""
        self._is_closed = True
        self._stop_counting()
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()
