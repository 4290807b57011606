"""Odd values, decoders, and the law that decoders of data from outside keep."""

from __future__ import annotations

import contextlib
import itertools
import math
from collections.abc import Callable, Iterator
from types import ModuleType
from typing import Any, NamedTuple

import msgspec

from halldoor.core.errors import HalldoorError

MAX_NUMBER = 2.0**64
DIGITS = [b"9" * 5000, b"1" + b"0" * 400, b"-1", b"0", b"-0", b"1e999", b"1e308", b"-1e308"]
ODD_JSON = [
    *DIGITS,
    b"[" * 5000 + b"]" * 5000,
    b'{"a":' * 2000 + b"1" + b"}" * 2000,
    b"[" * 40 + b"]" * 40,
    *(b'"%s"' % text for text in (b"nan", b"inf", b" 5", b"5 ", b"1_0", b"\\ud800", b"\\u0000")),
    '"\u0663"'.encode(),
    b'"127.0.0.1:\xd9\xa3"',
    b'"127.0.0.1: 80"',
    b'"127.0.0.1:0"',
    b'"127.0.0.1:70000"',
    b'"' + b"x" * 10_000 + b'"',
    *(b"true", b"null", b"[]", b"{}", b"1.5", b"\xff", b"", b'"\xed\xa0\x80"'),
]
ODD_MESSAGEPACK = [
    b"\x91" * 5000 + b"\xc0",
    b"\x81\xa1a" * 5000 + b"\xc0",
    b"\xc1",
    b"\xa2\xff\xff",
    b"\xdd\xff\xff\xff\xff",
    *map(
        msgspec.msgpack.encode,
        (math.inf, -math.inf, math.nan, 1e308, -1, 0, 2**63, 2**64 - 1, -(2**63)),
    ),
    *map(msgspec.msgpack.encode, ("x" * 10_000, "\0", "", b"", b"x", None, [], {}, True)),
]
ODD_TEXT = [
    *DIGITS,
    *(b"", b" ", b"nan", b"inf", b"-inf", b"0x10", b"1_0", b"\xb2", b"\0", b"\xff", b"1 2", b"//["),
    b"&a [*a]",
    b"2026-99-99",
    b"[" * 5000,
]


class Decoder(NamedTuple):
    """A decoder and an example that it accepts.

    Attributes
    ----------
    decode : callable
        Returns a value, or raises `HalldoorError`.
    example : bytes
        JSON, MessagePack or text.
    """

    decode: Callable[[bytes], Any]
    example: bytes


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """List the paths of all values in plain data."""
    yield path
    if isinstance(value, dict):
        steps: Any = value.items()
    else:
        steps = enumerate(value) if isinstance(value, list) else ()
    for step, child in steps:
        yield from list_paths(child, (*path, step))


def replace_value(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return plain data with the value at a path replaced."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = replace_value(value[path[0]], path[1:], new)
    return copy


def assert_bounded(value: Any) -> None:
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


def assert_decodes_or_rejects(decoder: Decoder, data: bytes) -> None:
    """Check that a decoder returns a bounded value or raises `HalldoorError`."""
    with contextlib.suppress(HalldoorError):
        assert_bounded(decoder.decode(data))


def assert_odd_values_rejected(decoder: Decoder, codec: ModuleType, odd: list[bytes]) -> None:
    """Check a decoder with each value of its example replaced by each odd one, or one added."""
    plain = codec.decode(decoder.example)
    assert_bounded(decoder.decode(decoder.example))
    paths = list(list_paths(plain))
    if isinstance(plain, dict):
        paths.append(("extra",))
        plain["extra"] = None
    for path, value in itertools.product(paths, odd):
        data = codec.encode(replace_value(plain, path, msgspec.Raw(value)))
        assert_decodes_or_rejects(decoder, data)
