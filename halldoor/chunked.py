"""Bodies in the chunked transfer coding (RFC 9112, 7.1), read without holding a whole chunk."""

from __future__ import annotations

import io
import re
from typing import Protocol

MAX_LINE_BYTES = 4_096
"""Longest line with the size of a chunk and its extensions, and longest trailer field."""
MAX_TRAILER_LINES = 100
"""Most trailer fields, which are dropped."""

_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r\n")


class BodyTooLongError(ValueError):
    """A body exceeds its limit."""


class Source(Protocol):
    """A buffered connection."""

    def read(self, size: int, /) -> bytes:
        """Read a number of bytes; fewer only at the end."""

    def readline(self, size: int, /) -> bytes:
        """Read a line of at most a number of bytes."""


class ChunkedBody(io.RawIOBase):
    """The content of a chunked body.

    Parameters
    ----------
    source : Source
        Connection that the body is read from.
    limit : int
        Most bytes of content.

    Attributes
    ----------
    has_ended : bool
        Whether the body has been read to its end.
    """

    def __init__(self, source: Source, limit: int) -> None:
        self._source = source
        self._left = limit
        self._chunk_left = 0
        self.has_ended = False

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Read some of the content.

        Raises
        ------
        BodyTooLongError
            If the content exceeds the limit.
        ValueError
            If the framing is invalid.
        """
        if not self._chunk_left and not self.has_ended:
            self._begin_chunk()
        if self.has_ended:
            return 0
        piece = self._source.read(min(self._chunk_left, len(buffer)))
        if not piece:
            raise ValueError("The connection ended within a chunk.")
        buffer[: len(piece)] = piece
        self._chunk_left -= len(piece)
        if not self._chunk_left and self._source.read(2) != b"\r\n":
            raise ValueError("A chunk is longer than its size.")
        return len(piece)

    def _begin_chunk(self) -> None:
        """Read the size of the next chunk; at the last one, the trailer."""
        match = _SIZE.fullmatch(self._source.readline(MAX_LINE_BYTES))
        if match is None:
            raise ValueError("The size of a chunk is invalid.")
        self._chunk_left = int(match[1], 16)
        self._left -= self._chunk_left
        if self._left < 0:
            raise BodyTooLongError("The body is too long.")
        if not self._chunk_left:
            self._read_trailer()
            self.has_ended = True

    def _read_trailer(self) -> None:
        """Read the trailer fields up to the empty line, and drop them."""
        for _ in range(MAX_TRAILER_LINES):
            line = self._source.readline(MAX_LINE_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\n"):
                break
        raise ValueError("The trailer is invalid.")
