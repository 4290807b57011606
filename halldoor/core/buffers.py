"""Accounts of the bytes that a process buffers for all its connections together.

The threshold of an account is a fixed share of what is still free (Choudhury and Hahne, Dynamic
Queue Length Thresholds for Shared-Memory Packet Switches, IEEE/ACM Transactions on Networking,
1998): peers that read slowly share most of the buffers evenly, and some stay free for the others.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum

THRESHOLD_SHARE = 1 / 32
"""Share of the free bytes that one account may hold."""
LARGE_BYTES = 16_384
"""Size from which an answer or a body counts as large."""
LARGE_SHARE = 0.8
"""Share of the budget within which requests with large answers or bodies begin."""
GROWTH_SHARE = 0.75
"""Share of the budget within which buffers grow beyond what was reserved; requests that begin find
room beyond it."""
OPTIONAL_SHARE = 0.5
"""Share of the budget within which buffers grow that only make a connection faster."""
MAX_EXPECTED_BYTES = 131_072
"""Most that is reserved for an answer: what a connection buffers while its peer does not read."""
SIZE_WEIGHT = 0.1
"""Weight of an answer smaller than expected; a larger one replaces the expectation at once."""
CONNECTION_BYTES = 8_192
"""Memory of an open connection without a request."""
REQUEST_BYTES = 32_768
"""Memory of a request under way, and of its connection to a target."""
KINDS_KEPT = 4_096
"""Kinds of request whose answers' sizes are remembered, the first ones of the process."""


class BufferKind(StrEnum):
    """What buffered bytes are."""

    ANSWER = "answer"
    """Received from targets or other entries, and not passed on."""
    EXPECTED = "expected"
    """Reserved for answers and bodies that have not arrived."""
    PIPELINED = "pipelined"
    """Answers held behind earlier ones of their connection."""
    UNSENT = "unsent"
    """Written to connections whose peers have not taken them."""
    UNREAD = "unread"
    """Received from callers or other entries, and not read."""
    CONNECTION = "connection"
    """Open connections, at the size of one without a request."""
    REQUEST = "request"
    """Requests under way, at the size of one without answer and body."""
    WINDOW = "window"
    """Receive windows of connections that send a body: what may arrive before it is read."""
    BODY = "body"
    """Bodies of requests, kept until they are answered."""


class BufferBudget:
    """The bytes that a process may buffer, and those that it does.

    Parameters
    ----------
    limit_bytes : float, optional
        Most bytes that may be buffered.

    Attributes
    ----------
    held_bytes : int
        Bytes that are buffered or reserved.
    peak_bytes : int
        The most so far.
    by_kind : Counter of BufferKind
        Bytes that are buffered or reserved, by kind.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.by_kind: Counter[BufferKind] = Counter()

    def add(self, kind: BufferKind, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        self.by_kind[kind] += count
        self.held_bytes += count
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def open(self, kind: BufferKind) -> Buffer:
        """Open a buffer that belongs to no connection's share."""
        return BufferAccount(self).open(kind)

    def find_threshold(self) -> float:
        """Return the number of bytes that one account may hold now."""
        return THRESHOLD_SHARE * max(0.0, GROWTH_SHARE * self.limit_bytes - self.held_bytes)

    def has_room(self, size: int, *, fixed: int = 0) -> bool:
        """Check whether a request may begin that buffers a number of bytes.

        Large ones leave a part of the budget to the others.

        Parameters
        ----------
        fixed : int, optional
            Bytes that it needs besides, as each request does.
        """
        return self.held_bytes + fixed + size <= self._find_share(size)

    def can_fit(self, size: int, *, fixed: int = 0) -> bool:
        """Check whether a request has room, for the parameters see there, if it is alone."""
        return fixed + size <= self._find_share(size)

    def _find_share(self, size: int) -> float:
        """Return the part of the budget in which a request finds room."""
        return self.limit_bytes * (1.0 if size < LARGE_BYTES else LARGE_SHARE)


class BufferAccount:
    """The bytes that are buffered for one connection.

    Attributes
    ----------
    held_bytes : int
        Bytes that are buffered or reserved.
    """

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def add(self, kind: BufferKind, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        self.held_bytes += count
        self._budget.add(kind, count)

    @property
    def is_full(self) -> bool:
        """Check whether the account holds its share of the budget, or all of that is in use."""
        return not self.can_hold(0)

    def find_optional_room(self) -> float:
        """Return the number of bytes by which the account may grow for speed alone."""
        free = OPTIONAL_SHARE * self._budget.limit_bytes - self._budget.held_bytes
        return max(0.0, THRESHOLD_SHARE * free - self.held_bytes)

    def can_hold(self, size: int) -> bool:
        """Check whether a number of bytes, or those held now if more, are within its share."""
        is_within = max(size, self.held_bytes) <= self._budget.find_threshold()
        return is_within and self._budget.has_room(LARGE_BYTES)

    def open(self, kind: BufferKind) -> Buffer:
        """Open a buffer of one kind."""
        return Buffer(self, kind)

    def reserve(self, kind: BufferKind, expected: int) -> ReservedBuffer:
        """Open a buffer of one kind that is expected to hold a number of bytes."""
        return ReservedBuffer(self, kind, expected)


class Buffer:
    """Bytes of one kind that are buffered for a connection.

    Attributes
    ----------
    size : int
        Bytes that are buffered.
    """

    __slots__ = ("_account", "_is_closed", "_kind", "size")

    def __init__(self, account: BufferAccount, kind: BufferKind) -> None:
        self._account = account
        self._kind = kind
        self._is_closed = False
        self.size = 0

    @property
    def is_full(self) -> bool:
        """Check whether the connection holds its share of the budget, or all of that is in use."""
        return self._account.is_full

    def find_optional_room(self) -> float:
        """Return the number of bytes by which the buffer may grow for speed alone."""
        return self._account.find_optional_room()

    def add(self, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        if not self._is_closed:
            self.size += count
            self._account.add(self._kind, count)

    def set(self, size: int) -> None:
        """Set the number of bytes."""
        if size != self.size:
            self.add(size - self.size)

    def close(self) -> None:
        """Count no bytes any longer, also none that are added later."""
        self.set(0)
        self._is_closed = True


class ReservedBuffer(Buffer):
    """Bytes that are buffered, and what is reserved until they arrive.

    Parameters
    ----------
    expected : int
        Number of bytes that are reserved.

    Attributes
    ----------
    received : int
        Bytes that were buffered so far.
    """

    __slots__ = ("_reserved", "received")

    def __init__(self, account: BufferAccount, kind: BufferKind, expected: int) -> None:
        super().__init__(account, kind)
        self.received = 0
        self._reserved = Buffer(account, BufferKind.EXPECTED)
        self._reserved.set(expected)

    @property
    def has_reserve(self) -> bool:
        """Whether bytes are reserved that have not arrived."""
        return self._reserved.size > 0

    def add(self, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        super().add(count)
        if count > 0:
            self.received += count
            self._reserved.set(max(0, self._reserved.size - count))

    def close(self) -> None:
        """Count no bytes any longer, also none that are added later."""
        super().close()
        self._reserved.close()


class ExpectedSizes:
    """Expected sizes of answers, by kind of request."""

    def __init__(self) -> None:
        self._sizes: dict[str, float] = {}

    def add(self, kind: str, size: int) -> None:
        """Add the size of an answer, in bytes."""
        known = self._sizes.get(kind)
        if known is None and len(self._sizes) >= KINDS_KEPT:
            return
        lower = size if known is None else known + SIZE_WEIGHT * (size - known)
        self._sizes[kind] = min(MAX_EXPECTED_BYTES, max(size, lower))

    def find(self, kind: str, *, default: int) -> int:
        """Return the expected size of an answer, in bytes."""
        return math.ceil(self._sizes.get(kind, default))
