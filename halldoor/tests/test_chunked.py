"""Bodies in chunks, as the HTTP server for WSGI applications reads them."""

from __future__ import annotations

import io

import pytest

from halldoor.chunked import MAX_LINE_BYTES, BodyTooLongError, ChunkedBody

LIMIT = 1000


class Source(io.BytesIO):
    """Bytes of a connection; records how many were asked for at once."""

    largest = 0

    def read(self, size=-1, /):
        self.largest = max(self.largest, size)
        return super().read(size)


def read(data, size=-1):
    return io.BufferedReader(ChunkedBody(Source(data), LIMIT)).read(size)


@pytest.mark.parametrize(
    "data",
    [
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        b"005;name=value\r\nabcde\r\n0\r\n\r\n",
        b"5 \r\nabcde\r\n000;x\r\nChecksum: 1\r\n\r\n",
    ],
)
def test_content_is_read_up_to_the_end_of_the_trailer(data):
    source = Source(data + b"GET /")
    assert io.BufferedReader(ChunkedBody(source, LIMIT)).read() == b"abcde"
    assert source.read() == b"GET /"


def test_chunk_is_not_held_as_a_whole():
    source = Source(b"3e8\r\n" + b"x" * LIMIT + b"\r\n0\r\n\r\n")
    body = ChunkedBody(source, LIMIT)
    buffer = bytearray(10)
    while body.readinto(memoryview(buffer)):
        pass
    assert source.largest == len(buffer)


@pytest.mark.parametrize("data", [b"3e9\r\nx", b"1f4\r\n" + b"x" * 500 + b"\r\n1f5\r\nx"])
def test_content_beyond_the_limit_is_rejected(data):
    with pytest.raises(BodyTooLongError):
        read(data)


def test_framing_does_not_count_as_content():
    assert read(b"1\r\nx\r\n" * LIMIT + b"0\r\n\r\n") == b"x" * LIMIT


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\r\n",
        b"x\r\n",
        b"-1\r\n",
        b"+1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1\nx\r\n",
        b"1;" + b"x" * MAX_LINE_BYTES + b"\r\nx\r\n",
        b"2\r\nabc\r\n",
        b"5\r\nabc",
        b"1\r\nx\r\n",
        b"0\r\n",
        b"0\r\n" + b"A: b\r\n" * 1000,
        b"0\r\nA: " + b"b" * MAX_LINE_BYTES + b"\r\n\r\n",
    ],
)
def test_invalid_framing_is_rejected(data):
    with pytest.raises(ValueError, match=r"chunk|trailer"):
        read(data)
