"""Sends and receives short messages between entries as UDP datagrams.

Datagrams, since a late message is useless, a lost one is replaced by the next, and neither may
delay another.  A frozen or unreachable peer holds up no sender.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import IntEnum
from typing import Any, cast

import msgspec

from halldoor.core.bounds import MAX_PORT
from halldoor.core.decoding import DecodingError, decode_msgpack
from halldoor.core.settings import Address
from halldoor.gateway.failures import FailureReporter
from halldoor.gateway.metrics import GatewayMetrics

Receiver = Callable[[Any, Address], None]


class MessageKind(IntEnum):
    """Kind of a message, sent as its first byte; it determines the type of the content."""

    QUOTA_REPORT = 1
    QUOTA_SHARES = 2
    OBSERVATIONS = 3
    EVIDENCE = 4
    EVIDENCE_FOR_ALL = 5
    COLD_STATE = 6
    LIMITS = 7
    LEAVING = 8
    STORE_NEWS = 9
    LOAD = 10


REGISTERED_ONLY = frozenset(
    {
        MessageKind.COLD_STATE,
        MessageKind.LIMITS,
        MessageKind.LEAVING,
        MessageKind.STORE_NEWS,
        MessageKind.LOAD,
    }
)
"""Kinds that are accepted from registered entries only: each can take a target out of
use, or callers away from an entry."""


class DatagramPort(asyncio.DatagramProtocol):
    """Socket for messages between entries.

    Parameters
    ----------
    address : Address or None
        Address to listen on; None: nothing is sent or received.
    is_entry : callable
        Returns whether an address belongs to a registered entry.
    reporter : FailureReporter, optional
        Reports messages on which a receiver fails, or that can't be sent.
    """

    def __init__(
        self,
        address: Address | None,
        *,
        is_entry: Callable[[Address], bool],
        metrics: GatewayMetrics,
        reporter: FailureReporter | None = None,
    ) -> None:
        self.address = address
        self._is_entry = is_entry
        self._metrics = metrics
        self._reporter = reporter
        self._transport: asyncio.DatagramTransport | None = None
        self._is_lost = asyncio.Event()
        self._receivers: dict[int, tuple[Any, Receiver]] = {}

    def register_receiver(self, kind: MessageKind, message_type: Any, receiver: Receiver) -> None:
        """Register the receiver of a kind of messages, and the type of their content."""
        self._receivers[kind] = (message_type, receiver)

    async def start(self) -> None:
        """Open the socket."""
        if self.address is not None:
            loop = asyncio.get_running_loop()
            local = (self.address.ip, self.address.port)
            await loop.create_datagram_endpoint(lambda: self, local_addr=local)

    async def run(self) -> None:
        """Open the socket again whenever it was lost, until cancelled."""
        while True:
            await self._is_lost.wait()
            await self.start()
            self._is_lost.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """Have the socket opened again, unless it was closed on purpose."""
        if exc is not None:
            self._transport = None
            self._report("The socket for messages was lost.", exc)
            self._is_lost.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        # The event loop's datagram transports do not derive from `asyncio.DatagramTransport`.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, kind: MessageKind, message: Any, *addresses: Address | None) -> None:
        """Send a message to some addresses; drop it where it can't be sent now."""
        if self._transport is None:
            return
        try:
            data = bytes([kind]) + msgspec.msgpack.encode(message)
        except Exception as exc:
            self._metrics.add_message("unsent")
            self._report("A message can't be encoded.", exc, kind=kind.name.lower())
            return
        for address in addresses:
            if address is None or self._transport is None:
                continue
            # With a larger port the event loop would close the socket.
            if 0 < address.port <= MAX_PORT:
                self._transport.sendto(data, (address.ip, address.port))
            else:
                self._metrics.add_message("unsent")

    def _report(self, text: str, exc: Exception, **fields: str) -> None:
        """Report a failure."""
        if self._reporter is not None:
            self._reporter.report("datagrams", text, exc, **fields)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to its receiver; count and drop one on which that fails."""
        try:
            self._receive(data, addr)
        except Exception as exc:
            self._metrics.add_message("failed")
            self._report("A receiver of messages failed.", exc, sender=str(Address(*addr[:2])))

    def _receive(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message and pass it to its receiver; count and drop an invalid one."""
        message_type, receiver = self._receivers.get(data[0] if data else 0, (None, None))
        if receiver is None:
            self._metrics.add_message("unknown")
            return
        if data[0] in REGISTERED_ONLY and not self._is_entry(Address(*addr)):
            self._metrics.add_message("stranger")
            return
        try:
            message = decode_msgpack(data[1:], message_type, origin="message")
        except DecodingError:
            self._metrics.add_message("unreadable")
            return
        self._metrics.add_message(MessageKind(data[0]).name.lower())
        receiver(message, Address(*addr))

    def error_received(self, exc: Exception) -> None:
        """Count a message that could not be delivered; it is not sent again."""
        self._metrics.add_message("undelivered")
