"""HTTP client connections, on urllib3, that reject incomplete and ambiguous answers.

``http.client`` takes the end of the stream for the end of an answer's head, and reads a body whose
length it can't parse up to the end of the connection.  Both make a broken answer look whole.
"""

from __future__ import annotations

import io
from http.client import HTTPException, HTTPResponse
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection as _HTTPConnection
from urllib3.connection import HTTPSConnection as _HTTPSConnection
from urllib3.exceptions import ProtocolError
from urllib3.util.response import assert_header_parsing

from halldoor.core.decoding import DecodingError, parse_int

MAX_BODY_BYTES = 1 << 62
"""Greatest length that an answer may declare for its body, in bytes."""
MAX_INFORMATIONAL_ANSWERS = 16
"""Most informational answers (status 100 to 199) before the final one."""
MAX_STATUS = 599
"""Greatest status of an answer; ``http.client`` rejects those below 100."""


class AnswerError(HTTPException):
    """An answer is cut short, or its length is ambiguous."""


class _MessageStream(io.RawIOBase):
    """Stream of a connection that must not end before the message on it.

    Attributes
    ----------
    may_end : bool
        Whether the end of the stream is the end of the message.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        self._raw = raw
        self.may_end = False

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader of the stream, as `http.client` opens it."""
        return io.BufferedReader(self)

    def readable(self) -> bool:
        """Return whether the stream can be read."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Read into a buffer; raise `AnswerError` if the stream ends before the message."""
        size: int | None = self._raw.readinto(buffer)  # type: ignore[attr-defined]
        if size == 0 and not self.may_end:
            raise AnswerError("The connection was closed before the end of the answer.")
        return size

    def close(self) -> None:
        """Close the stream; the socket stays open for its connection."""
        self._raw.close()
        super().close()


class StrictResponse(HTTPResponse):
    """Answer whose head must be complete and must state clearly where the body ends."""

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        self._stream = _MessageStream(sock.makefile("rb", buffering=0))
        self._heads = 0
        super().__init__(self._stream, *args, **kwargs)  # type: ignore[arg-type]

    def begin(self) -> None:
        """Read the head of the final answer, and skip informational ones before it.

        Raises
        ------
        AnswerError
            If the connection ends within the head, the length of the body is ambiguous, there are
            more than `MAX_INFORMATIONAL_ANSWERS`, or the status is not one of HTTP (RFC 9110, 15).
        """
        super().begin()
        while 100 <= self.status < 200:
            self.headers = self.msg = None  # type: ignore[assignment]
            super().begin()
        if self.status > MAX_STATUS:
            raise AnswerError(f"The status {self.status} is not one of HTTP.")
        if self.msg.defects or self.msg.get_payload():
            assert_header_parsing(self.msg)
        self._check_length()
        self._stream.may_end = self.length is None and not self.chunked

    def _read_status(self) -> Any:
        """Read the status line of the next answer."""
        self._heads += 1
        if self._heads > MAX_INFORMATIONAL_ANSWERS + 1:
            raise AnswerError("Informational answers came without end.")
        return super()._read_status()  # type: ignore[misc]

    def _check_length(self) -> None:
        """Raise `AnswerError` unless it is clear where the body ends."""
        lengths = []
        for name, value in self.headers.raw_items():
            match name.lower():
                case "content-length":
                    lengths.append(value)
                case "transfer-encoding" if not self.chunked:
                    raise AnswerError(f"The transfer encoding {value[:40]!r} is not supported.")
        if not lengths:
            return
        if self.chunked or len(lengths) > 1:
            raise AnswerError("The answer states its length more than once.")
        try:
            parse_int(lengths[0], lowest=0, highest=MAX_BODY_BYTES, origin="Content-Length")
        except DecodingError as exc:
            raise AnswerError(str(exc)) from exc


class HTTPConnection(_HTTPConnection):
    """Connection whose answers are `StrictResponse` objects."""

    response_class = StrictResponse


class HTTPSConnection(_HTTPSConnection):
    """Connection over TLS whose answers are `StrictResponse` objects."""

    response_class = StrictResponse


class _HTTPConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of connections to one host."""

    ConnectionCls = HTTPConnection


class _HTTPSConnectionPool(urllib3.HTTPSConnectionPool):
    """Pool of connections over TLS to one host."""

    ConnectionCls = HTTPSConnection


class Answer(NamedTuple):
    """A complete answer: status, headers and body."""

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


class PoolManager(urllib3.PoolManager):
    """Pools of connections by host, without retries and redirects.

    Parameters
    ----------
    num_pools : int, optional
        Most hosts whose connections are kept.
    **options
        Options of `urllib3.PoolManager`, such as ``timeout`` and ``maxsize``.
    """

    def __init__(self, num_pools: int = 10, **options: Any) -> None:
        super().__init__(num_pools, retries=False, **options)
        self.pool_classes_by_scheme = {
            "http": _HTTPConnectionPool,
            "https": _HTTPSConnectionPool,
        }

    def fetch(self, method: str, url: str, *, max_bytes: int, **options: Any) -> Answer:
        """Send a request once and return the complete answer, also if it is a redirect.

        Parameters
        ----------
        max_bytes : int
            Longest body that is accepted, in bytes.
        **options
            Options of `urllib3.PoolManager.request`, such as ``body`` and ``timeout``.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no complete answer of that length arrived.
        """
        response = self.request(method, url, preload_content=False, redirect=False, **options)
        try:
            data = response.read(max_bytes + 1)
            if len(data) > max_bytes:
                raise ProtocolError(f"The answer is longer than {max_bytes} bytes.")
        finally:
            # After a complete answer the connection is back in the pool already.
            response.close()
        return Answer(response.status, response.headers, data)
