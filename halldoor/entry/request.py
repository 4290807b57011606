"""A request on its way, its body, its cancellation and its answer."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from halldoor.core.errors import Reason, Refusal, refuse_unknown
from halldoor.core.explaining.decision import PassedOver

Headers = tuple[tuple[str, str], ...]
SMALL_BODY = 65_536
"""Bodies up to this many bytes are read before routing, and can be sent again."""

DEADLINE_STEP_S = 0.001
"""Step of deadlines that are passed on, in seconds: rounded down, theirs end so much earlier."""

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
    """A request can't go on; carries the refusal that says why."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Cancellation:
    """Tells the parties to a request that nobody waits for it any more."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._closers: list[Callable[[], None]] = []
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel, and close whatever the request is waiting on."""
        with self._lock:
            self.is_cancelled = True
            closers, self._closers = self._closers, []
        for close in closers:
            with contextlib.suppress(OSError):
                close()

    def attach(self, close: Callable[[], None]) -> None:
        """Call ``close`` on cancellation; at once where it came already."""
        with self._lock:
            if not self.is_cancelled:
                self._closers.append(close)
                return
        close()

    def detach(self, close: Callable[[], None]) -> None:
        """Forget a closer."""
        with self._lock, contextlib.suppress(ValueError):
            self._closers.remove(close)


class Request(NamedTuple):
    """What is known of a request once it was read.

    Attributes
    ----------
    id : str
        Decision id.
    path : str
        Path and query below the service, as the target gets it.
    deadline : float
        Monotonic seconds at this entry.
    length : int
        Body bytes; -1 where the caller sends chunks.
    client : str
        Client block, the unit that shifts move.
    is_repeatable : bool
        Whether it may be sent again when nobody knows what became of it.
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
        """Return the time left."""
        return self.deadline - time.monotonic()

    def has_expired(self) -> bool:
        """Check whether the time is up, here or at whom the deadline was passed on to.

        Without the step, a target that ended at its deadline just before this entry's own was
        told to the caller as broken.
        """
        return self.get_remaining_s() <= DEADLINE_STEP_S


class Body:
    """The body of a request: whole in memory where small, else a stream read once.

    Parameters
    ----------
    data : bytes
        The whole body, or its first part.
    rest : iterator of bytes, optional
        The parts that follow.
    """

    def __init__(self, data: bytes = b"", rest: Iterator[bytes] | None = None) -> None:
        self.data = data
        self._rest = rest
        self._is_taken = False

    @property
    def is_whole(self) -> bool:
        """Whether all of it is in memory."""
        return self._rest is None

    @property
    def can_repeat(self) -> bool:
        """Whether it can still be sent from its start."""
        return self.is_whole or not self._is_taken

    def read(self) -> Iterator[bytes]:
        """Return the parts; a streamed body only once."""
        self._is_taken = True
        if self.data:
            yield self.data
        if self._rest is not None:
            yield from self._rest


class Answer:
    """An answer on its way back.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    pieces : iterator of bytes
        The body; raises `RequestError` where it breaks off.
    on_end : callable
        Called once, with whether the body came to its end.
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
        self._held: list[bytes] = []
        self._is_ended = False

    def add_end(self, on_end: Callable[[bool], None]) -> None:
        """Call something more at the end."""
        self._on_end.append(on_end)

    def prefetch(self, limit: int) -> None:
        """Read up to ``limit`` bytes ahead, so that an early break can be retried."""
        size = 0
        while size < limit and not self._is_ended:
            piece = self._read()
            if piece:
                self._held.append(piece)
                size += len(piece)

    def _read(self) -> bytes:
        """Read one piece; empty at the end."""
        try:
            piece = next(self._pieces, b"")
        except BaseException:
            self.close()
            raise
        if not piece:
            self._end(True)
        return piece

    def __iter__(self) -> Iterator[bytes]:
        yield from self._held
        self._held = []
        while not self._is_ended:
            piece = self._read()
            if piece:
                yield piece

    def close(self) -> None:
        """Give up the rest; a no-op after the end."""
        self._end(False)

    def _end(self, is_whole: bool) -> None:
        """Tell everyone, once."""
        if self._is_ended:
            return
        self._is_ended = True
        for on_end in self._on_end:
            on_end(is_whole)


def keep_end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Drop headers that concern one connection only."""
    return tuple((k, v) for k, v in headers if k.lower() not in _HOP_BY_HOP)


def find_header(headers: Headers, name: str) -> str:
    """Find a header by its lower-case name; empty where it is missing."""
    return next((v for k, v in headers if k.lower() == name), "")


def break_off(message: str) -> RequestError:
    """Build the error of a request that broke after it may have run."""
    return RequestError(refuse_unknown(Reason.BROKEN, message, retry_after_s=1.0))
