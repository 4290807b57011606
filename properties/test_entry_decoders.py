"""Property: decoders of entries and commands return a bounded value or raise a `HalldoorError`."""

from __future__ import annotations

import contextlib
import socket
from http.client import HTTPException

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from urllib3.exceptions import HTTPError

from halldoor.client import HTTPConnection
from properties.entry_decoders import TEXT
from properties.oddvalues import (
    ODD_TEXT,
    assert_decodes_or_rejects,
)

ODD_ENTRY_TEXT = [*ODD_TEXT, b"\r\n", b"%00", b"=" * 300, b"A" * 20_000, b"-"]


@pytest.mark.parametrize("name", TEXT)
def test_odd_text_is_bounded_or_rejected(name):
    """Each odd text by itself, and inserted at each place of the example."""
    decoder = TEXT[name]
    decoder.decode(decoder.example)
    for odd in ODD_ENTRY_TEXT:
        assert_decodes_or_rejects(decoder, odd)
        for at in range(min(len(decoder.example), 60)):
            assert_decodes_or_rejects(decoder, decoder.example[:at] + odd + decoder.example[at:])


HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)


@settings(max_examples=300)
@given(
    patch=st.one_of(st.binary(max_size=30), st.sampled_from(ODD_ENTRY_TEXT)),
    at=st.integers(0, len(HEAD)),
    length=st.integers(0, 40),
)
def test_any_answer_of_a_target_is_read_or_rejected(patch, at, length):
    near, far = socket.socketpair()
    with near, far:
        far.sendall(HEAD[:at] + patch + HEAD[at + length :])
        far.shutdown(socket.SHUT_WR)
        connection = HTTPConnection("127.0.0.1", 1, timeout=1.0)
        connection.sock = near
        connection.request("GET", "/", preload_content=False)
        with contextlib.suppress(HTTPError, HTTPException, OSError, ValueError):
            response = connection.getresponse()
            while response.read1(1000, decode_content=False):
                pass
        connection.close()
