"""Room in the process's buffers for requests and their answers."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.buffers import (
    LARGE_BYTES,
    MAX_EXPECTED_BYTES,
    REQUEST_BYTES,
    BufferAccount,
    BufferBudget,
    ExpectedSizes,
)
from halldoor.core.decoding import DecodingError, parse_int
from halldoor.core.targets.choice import name_kind
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.attempt import RequestResult, RequestState
from halldoor.gateway.body import BODY_COPIES, LEAST_BODY_BUFFER_BYTES
from halldoor.gateway.eviction import ConnectionEvictor
from halldoor.gateway.flow import READ_BYTES
from halldoor.gateway.headers import find
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.sizes import READ_AHEAD
from halldoor.machine import find_memory_bytes

NO_ROOM = "no room in the buffers"
"""Reason of a refusal."""
MAX_BODY_RESERVE_BYTES = (BODY_COPIES + 1) * (READ_AHEAD + READ_BYTES)
"""Most that is reserved for a body and its unread bytes: what a connection at its share buffers."""
MAX_LENGTH = 2**62
"""Greatest announced length of a body, in bytes."""


class MemorySettings(NamedTuple):
    """How much memory the process uses for buffers.

    Attributes
    ----------
    limit_mb : float
        Memory that the process may use, in MB; 0: all of the machine's.
    buffer_share : float
        Share of it that buffers may take; allocations and the rest of the process need the others.
    unread_share : float
        Share of it that bytes may take which have arrived from clients and are not read yet; it
        applies to ports that are opened afterwards.
    """

    limit_mb: float = 0.0
    buffer_share: float = 0.3
    unread_share: float = 0.2

    def find_limit_bytes(self) -> float:
        """Return the most bytes that may be buffered."""
        return self.buffer_share * find_memory_bytes(self.limit_mb)

    def find_unread_bytes(self) -> float:
        """Return the most bytes that may arrive before they are read."""
        return self.unread_share * find_memory_bytes(self.limit_mb)


class RequestRoom:
    """Reserves room for the answers of requests before they begin.

    Parameters
    ----------
    budget : BufferBudget
        The process's buffers.
    evictor : ConnectionEvictor
        Makes room at the cost of clients that make no progress.
    metrics : GatewayMetrics
        Counts the requests that find no room.
    """

    def __init__(
        self, budget: BufferBudget, evictor: ConnectionEvictor, metrics: GatewayMetrics
    ) -> None:
        self._budget = budget
        self._evictor = evictor
        self._metrics = metrics
        self._sizes = ExpectedSizes()

    async def reserve(self, account: BufferAccount, state: RequestState) -> RequestResult | None:
        """Reserve room for a request, or return the result of one that finds none."""
        is_download = state.route.kind is RequestKind.DOWNLOAD
        expected = self._sizes.find(
            name_kind(state.service, state.route),
            default=MAX_EXPECTED_BYTES if is_download else LARGE_BYTES - 1,
        )
        body = min((BODY_COPIES + 1) * _read_body_size(state), MAX_BODY_RESERVE_BYTES)
        size = expected + body
        has_room = self._budget.has_room(size, fixed=REQUEST_BYTES)
        if not has_room and not await self._evictor.make_room(size):
            self._metrics.add_refusal("503", NO_ROOM)
            return RequestResult(503, NO_ROOM)
        state.open_buffers(account, self._budget, answer=expected, body=body)
        return None

    def record_answer(self, state: RequestState, result: RequestResult) -> None:
        """Record the size of the answer to a request, by which those of its kind are expected."""
        if result.target and state.answer_buffer is not None:
            kind = name_kind(state.service, state.route)
            self._sizes.add(kind, state.answer_buffer.received)


def _read_body_size(state: RequestState) -> int:
    """Return the size of a body that its head announces, in bytes; the least for one in chunks."""
    length = find(state.head.headers, b"content-length")
    if not length and find(state.head.headers, b"transfer-encoding"):
        return LEAST_BODY_BUFFER_BYTES
    try:
        return parse_int(length or b"0", lowest=0, highest=MAX_LENGTH, origin="length")
    except DecodingError:
        return 0
