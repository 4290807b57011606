"""A request with its body and cancellation, and the answer to it."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from halldoor.core.errors import Reason, Refusal, refuse_unknown
from halldoor.core.explaining.decision import PassedOver

Headers = tuple[tuple[str, str], ...]
SMALL_BODY_BYTES = 65_536
"""Bodies up to this many bytes are read before routing, so that they can be sent again."""

DEADLINE_STEP_S = 0.001
"""Resolution, in seconds, of forwarded deadlines; rounded down, they pass up to this much early."""

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class RequestError(Exception):
    """A request failed; carries the refusal for the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Cancellation:
    """Cancels a request that its caller has abandoned, by calling the attached closers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._closers: list[Callable[[], None]] = []
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the request, and close the connections that it waits on."""
        with self._lock:
            self.is_cancelled = True
            closers, self._closers = self._closers, []
        for close in closers:
            with contextlib.suppress(OSError):
                close()

    def attach(self, close: Callable[[], None]) -> None:
        """Register a function to call on cancellation; call it now if already cancelled."""
        with self._lock:
            if not self.is_cancelled:
                self._closers.append(close)
                return
        close()

    def detach(self, close: Callable[[], None]) -> None:
        """Remove an attached closer."""
        with self._lock, contextlib.suppress(ValueError):
            self._closers.remove(close)


class Request(NamedTuple):
    """A request of a caller, as read or as forwarded by another entry.

    Attributes
    ----------
    id : str
        Decision id.
    path : str
        Path and query below the service, as sent to the target.
    deadline : float
        Monotonic seconds at this entry.
    length : int
        Body length in bytes; -1 if the caller sends chunks.
    client : str
        Client block; traffic shifts move whole client blocks.
    is_repeatable : bool
        Whether it may be sent again when its first outcome is unknown.
    operation_id : str
        Id under which an order runs at most once; empty for reads.
    """

    id: str
    service: str
    operation: str
    method: str
    path: str
    headers: Headers
    deadline: float
    length: int
    client: str
    is_repeatable: bool
    operation_id: str
    cancellation: Cancellation

    def get_remaining_s(self) -> float:
        """Return the seconds left until the deadline; negative after it."""
        return self.deadline - time.monotonic()

    def has_expired(self) -> bool:
        """Check whether the deadline has passed, here or at the process that it was forwarded to.

        A target stops at its rounded-down deadline.  Without the tolerance `DEADLINE_STEP_S`, that
        was reported to the caller as a broken connection.
        """
        return self.get_remaining_s() <= DEADLINE_STEP_S


class Body:
    """The body of a request: in memory if small, otherwise a stream that is read once.

    Parameters
    ----------
    data : bytes
        The whole body, or its first part.
    remainder : iterator of bytes, optional
        The parts after ``data``.
    """

    def __init__(self, data: bytes = b"", remainder: Iterator[bytes] | None = None) -> None:
        self.data = data
        self._remainder = remainder
        self._is_read = False

    @property
    def is_whole(self) -> bool:
        """Whether the whole body is in memory."""
        return self._remainder is None

    @property
    def can_resend(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self.is_whole or not self._is_read

    def read(self) -> Iterator[bytes]:
        """Yield the parts of the body; a streamed body can be read only once."""
        self._is_read = True
        if self.data:
            yield self.data
        if self._remainder is not None:
            yield from self._remainder


class Answer:
    """An answer whose body is still being read.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    pieces : iterator of bytes
        The body; raises `RequestError` if the connection breaks.
    on_end : callable
        Called once when reading ends, with whether the body was read completely.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        pieces: Iterator[bytes],
        *,
        target: str,
        on_end: Callable[[bool], None],
    ) -> None:
        self.status = status
        self.headers = headers
        self.target = target
        self.passed_over: list[PassedOver] = []
        self.attempts = 1
        self._pieces = pieces
        self._on_end = [on_end]
        self._prefetched: list[bytes] = []
        self._is_ended = False

    def add_end_callback(self, on_end: Callable[[bool], None]) -> None:
        """Add a function to call once when reading ends."""
        self._on_end.append(on_end)

    def prefetch(self, limit: int) -> None:
        """Read about ``limit`` bytes ahead, so that a break in them can be retried."""
        size = 0
        while size < limit and not self._is_ended:
            piece = self._read()
            if piece:
                self._prefetched.append(piece)
                size += len(piece)

    def _read(self) -> bytes:
        """Read one piece; empty at the end of the body."""
        try:
            piece = next(self._pieces, b"")
        except BaseException:
            self.close()
            raise
        if not piece:
            self._finish(True)
        return piece

    def __iter__(self) -> Iterator[bytes]:
        yield from self._prefetched
        self._prefetched = []
        while not self._is_ended:
            piece = self._read()
            if piece:
                yield piece

    def close(self) -> None:
        """Discard the unread body; does nothing once the answer was read completely."""
        self._finish(False)

    def _finish(self, is_whole: bool) -> None:
        """Call the end callbacks, once."""
        if self._is_ended:
            return
        self._is_ended = True
        for on_end in self._on_end:
            on_end(is_whole)


def keep_end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those that apply to one connection only (hop-by-hop)."""
    return tuple((k, v) for k, v in headers if k.lower() not in _HOP_BY_HOP)


def find_header(headers: Headers, name: str) -> str:
    """Return the value of a header by its lower-case name; empty if it is missing."""
    return next((v for k, v in headers if k.lower() == name), "")


def build_broken_error(message: str) -> RequestError:
    """Build the error of a request whose connection broke after it may have run."""
    return RequestError(refuse_unknown(Reason.BROKEN, message, retry_after_s=1.0))
