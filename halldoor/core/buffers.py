"""Accounts of the bytes that a process buffers for all its connections together.

The threshold of an account is a fixed share of what is still free (Choudhury and Hahne, Dynamic
Queue Length Thresholds for Shared-Memory Packet Switches, IEEE/ACM Transactions on Networking,
1998): peers that read slowly share most of the buffers evenly, and some stay free for the others.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum


class BufferKind(StrEnum):
    """What buffered bytes are."""

    ANSWER = "answer"
    """Received from targets or other entries, and not passed on."""
    EXPECTED = "expected"
    """Reserved for answers that have not arrived."""
    PIPELINED = "pipelined"
    """Answers held behind earlier ones of their connection."""
    UNSENT = "unsent"
    """Written to connections whose peers have not taken them."""
    UNREAD = "unread"
    """Received from callers or other entries, and not read."""
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

    def open(self, kind: BufferKind) -> Buffer:
        """Open a buffer of one kind."""
        return Buffer(self, kind)

    def reserve(self, expected: int) -> AnswerBuffer:
        """Open the buffer of an answer that is expected to have a number of bytes."""
        return AnswerBuffer(self, expected)


class Buffer:
    """Bytes of one kind that are buffered for a connection.

    Attributes
    ----------
    size : int
        Bytes that are buffered.
    """

    __slots__ = ("_account", "_kind", "size")

    def __init__(self, account: BufferAccount, kind: BufferKind) -> None:
        self._account = account
        self._kind = kind
        self.size = 0

    def add(self, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        self.size += count
        self._account.add(self._kind, count)

    def set(self, size: int) -> None:
        """Set the number of bytes."""
        if size != self.size:
            self.add(size - self.size)

    def close(self) -> None:
        """Count no bytes any longer."""
        self.set(0)


class AnswerBuffer(Buffer):
    """Bytes of a request's answer that are buffered, and what is reserved until they arrive.

    Parameters
    ----------
    expected : int
        Expected size of the answer, in bytes.
    """

    __slots__ = ("_reserved",)

    def __init__(self, account: BufferAccount, expected: int) -> None:
        super().__init__(account, BufferKind.ANSWER)
        self._reserved = Buffer(account, BufferKind.EXPECTED)
        self._reserved.set(expected)

    def add(self, count: int) -> None:
        """Add a number of bytes, negative for bytes that are no longer buffered."""
        super().add(count)
        if count > 0:
            self._reserved.set(max(0, self._reserved.size - count))

    def close(self) -> None:
        """Count no bytes any longer."""
        super().close()
        self._reserved.close()
