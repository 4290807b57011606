"""Bounds the work on one connection in a turn of the event loop.

A read of the socket may bring thousands of small pieces of a body (RFC 9112, 7.1).  Parsing them in
one go would keep all other connections and timers waiting.
"""

from __future__ import annotations

import asyncio
import math
from weakref import WeakKeyDictionary

import h11

from halldoor.gateway.clock import read_processor_seconds

PIECES_PER_TURN = 64
"""Pieces of a body that are parsed in one turn; some tenths of a millisecond."""
SMALL_PIECE_BYTES = 256
"""Mean size of pieces below which the time of their connections is limited."""
SMALL_PIECES_SHARE = 0.25
"""Share of the event loop's time for all connections with small pieces together, if several."""
SHARED_S = 1.0
"""Time after a change between such connections in which they count as several, in seconds."""
PIECE_FRAMING_BYTES = 5
"""Least framing of a piece: the digit of its size and two line ends."""
MAX_FRAMING_EXCESS_BYTES = 65_536
"""Bytes by which the framing of an answer's body may exceed its content."""


class PieceLane:
    """Share of an event loop's time for the connections whose bodies come in small pieces.

    A connection that is alone gives way to others after each turn, and uses the time they leave.
    """

    def __init__(self) -> None:
        self._free_at = -math.inf
        self._last: PieceReader | None = None
        self._shared_until = -math.inf

    async def wait(self, reader: PieceReader, took_s: float) -> None:
        """Wait until a connection may work again that has used processor time, in seconds."""
        now = asyncio.get_running_loop().time()
        if self._last is not None and reader is not self._last:
            self._shared_until = now + SHARED_S
        self._last = reader
        if now >= self._shared_until:
            await asyncio.sleep(0)
            return
        rest_s = took_s / SMALL_PIECES_SHARE - took_s
        self._free_at = max(now, self._free_at) + rest_s
        await asyncio.sleep(self._free_at - now)


_LANES: WeakKeyDictionary[asyncio.AbstractEventLoop, PieceLane] = WeakKeyDictionary()


class PieceReader:
    """Reads the events of one side of a connection, and joins the pieces of a body."""

    def __init__(self) -> None:
        self._next: object | None = None
        self._has_more = False
        self._is_small = False
        self._worked_s = 0.0
        self._pieces = self._content = 0

    def clear(self) -> None:
        """Prepare for the next message."""
        self._next, self._has_more = None, False
        self._pieces = self._content = 0

    @property
    def has_next(self) -> bool:
        """Check whether an event was parsed that is not read yet."""
        return self._next is not None

    @property
    def has_excessive_framing(self) -> bool:
        """Check whether the framing of the body outweighs its content by far."""
        return self._pieces * PIECE_FRAMING_BYTES > self._content + MAX_FRAMING_EXCESS_BYTES

    async def give_way(self) -> None:
        """Wait for other connections to work if a turn was used up."""
        if not self._has_more:
            return
        self._has_more = False
        loop = asyncio.get_running_loop()
        if self._is_small:
            lane = _LANES.setdefault(loop, PieceLane())
            # By the clock, a thread that waits for a processor would rest for that as well.
            await lane.wait(self, read_processor_seconds() - self._worked_s)
        else:
            await asyncio.sleep(0)

    def read(self, parser: h11.Connection) -> object:
        """Return the next event of a parser; pieces of a body that have arrived are joined.

        Raises
        ------
        h11.RemoteProtocolError
            If the peer violates HTTP.
        """
        event, self._next = self._next, None
        if event is None:
            event = parser.next_event()
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        return self._join(event, parser) if isinstance(event, h11.Data) else event

    def _join(self, first: h11.Data, parser: h11.Connection) -> h11.Data:
        """Return a piece of a body joined with those after it that may be parsed in this turn."""
        pieces = [first.data]
        event: object
        self._has_more = True
        while len(pieces) < PIECES_PER_TURN:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as exc:
                event = exc
            if not isinstance(event, h11.Data):
                self._next = None if event is h11.NEED_DATA else event
                self._has_more = False
                break
            if len(pieces) == 1:
                # Most bodies come in one piece, which needs no look at the clock.
                self._worked_s = read_processor_seconds()
            pieces.append(event.data)
        data = b"".join(pieces)
        self._is_small = len(data) < SMALL_PIECE_BYTES * len(pieces)
        # A piece alone may be a part of the body as it arrived, without framing of its own.
        self._pieces += len(pieces) - 1
        self._content += len(data)
        return h11.Data(data=data)
