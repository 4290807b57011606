"""Property: decoders of entries and commands return a bounded value or raise a `HalldoorError`."""

from __future__ import annotations

import contextlib
import math
import socket
from http.client import HTTPException

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from urllib3.exceptions import HTTPError

from halldoor.client import HTTPConnection
from halldoor.core.errors import HalldoorError
from properties.entry_decoders import JSON, MESSAGEPACK, TEXT

MAX_NUMBER = 2.0**64
NESTED = b"[" * 5000 + b"]" * 5000
ODD_JSON = [b"9" * 5000, b"1" + b"0" * 400, b"-1", b"0", b"1e999", b"1e308", b"-1e308", NESTED]
ODD_JSON += [b'{"a":' * 2000 + b"1" + b"}" * 2000, '"\u0663"'.encode(), b'"\\ud800"', b'"\\u0000"']
ODD_JSON += [b'"' + b"x" * 10_000 + b'"', b"true", b"null", b"[]", b"{}", b"1.5", b"\xff", b"NaN"]
ODD_MESSAGEPACK = [
    b"\x91" * 5000 + b"\xc0",
    b"\x81\xa1a" * 5000 + b"\xc0",
    b"\xc1",
    b"\xa2\xff\xff",
]
ODD_MESSAGEPACK += [b"\xdd\xff\xff\xff\xff"] + [
    msgspec.msgpack.encode(value)
    for value in (math.inf, -math.inf, math.nan, 1e308, -1, 0, 2**63, 2**64 - 1, -(2**63))
]
ODD_MESSAGEPACK += [
    msgspec.msgpack.encode(value)
    for value in ("x" * 10_000, "\0", "", b"", b"x", None, [], {}, True)
]
ODD_TEXT = [b"9" * 5000, b"1" + b"0" * 400, b"-1", b"1e999", b"nan", b"inf", b"", b" ", b"0x10"]
ODD_TEXT += [b"1_0", b"\xb2", b"\0", b"\xff", b"\r\n", b"%00", b"=" * 300, b"A" * 20_000, b"-"]


def list_paths(value, path=()):
    """List the paths of all values in plain data."""
    paths = [path]
    if isinstance(value, list):
        value = dict(enumerate(value))
    for step, child in value.items() if isinstance(value, dict) else ():
        paths += list_paths(child, (*path, step))
    return paths


def replace_value(value, path, new):
    """Return plain data with the value at a path replaced."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = replace_value(value[path[0]], path[1:], new)
    return copy


def assert_bounded(value):
    """Check that all numbers in a decoded value are finite and not huge."""
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.astuple(value)
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, tuple | list):
        for child in value:
            assert_bounded(child)
    if isinstance(value, int | float):
        assert math.isfinite(value) and abs(value) <= MAX_NUMBER


def assert_decodes_or_rejects(decoder, data):
    """Check that a decoder returns a bounded value or raises `HalldoorError`."""
    with contextlib.suppress(HalldoorError):
        assert_bounded(decoder.decode(data))


def assert_odd_values_rejected(decoder, codec, odd):
    """Check a decoder with each value of its example replaced by each odd one, or one added."""
    plain = codec.decode(decoder.example)
    decoder.decode(decoder.example)
    paths = list_paths(plain)
    if isinstance(plain, dict):
        paths.append(("extra",))
        plain["extra"] = None
    for path in paths:
        for value in odd:
            data = codec.encode(replace_value(plain, path, msgspec.Raw(value)))
            assert_decodes_or_rejects(decoder, data)


@pytest.mark.parametrize("name", JSON)
def test_odd_value_in_json_is_bounded_or_rejected(name):
    assert_odd_values_rejected(JSON[name], msgspec.json, ODD_JSON)


@pytest.mark.parametrize("name", MESSAGEPACK)
def test_odd_value_in_messagepack_is_bounded_or_rejected(name):
    assert_odd_values_rejected(MESSAGEPACK[name], msgspec.msgpack, ODD_MESSAGEPACK)


@pytest.mark.parametrize("name", TEXT)
def test_odd_text_is_bounded_or_rejected(name):
    """Each odd text by itself, and inserted at each place of the example."""
    decoder = TEXT[name]
    decoder.decode(decoder.example)
    for odd in ODD_TEXT:
        assert_decodes_or_rejects(decoder, odd)
        for at in range(min(len(decoder.example), 60)):
            assert_decodes_or_rejects(decoder, decoder.example[:at] + odd + decoder.example[at:])


@settings(max_examples=60)
@pytest.mark.parametrize("name", JSON | MESSAGEPACK | TEXT)
@given(noise=st.binary(max_size=300), at=st.integers(0, 400), length=st.integers(0, 20))
def test_any_bytes_are_decoded_or_rejected(name, noise, at, length):
    """Random bytes, and the example with some of its bytes replaced."""
    decoder = (JSON | MESSAGEPACK | TEXT)[name]
    for data in (noise, decoder.example[:at] + noise[:20] + decoder.example[at + length :]):
        assert_decodes_or_rejects(decoder, data)


HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)


@settings(max_examples=300)
@given(
    patch=st.one_of(st.binary(max_size=30), st.sampled_from(ODD_TEXT)),
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
