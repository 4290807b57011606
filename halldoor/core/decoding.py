"""Decoding of data from outside the process, within bounds on its size, depth and numbers.

Whatever another program wrote, decoding it returns a value of the wanted type or raises
`DecodingError`.  Bounds of single figures are part of the types (`msgspec.Meta`).
"""

from __future__ import annotations

import binascii
import math
import re
import zlib
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from halldoor.core.errors import HalldoorError

T = TypeVar("T")
Row = TypeVar("Row")

MAX_DEPTH = 32
"""Greatest nesting of lists and objects in JSON."""
MAX_BYTES = 64 * 1024 * 1024
"""Greatest size of encoded and of decompressed data, in bytes, where the caller sets none."""
MAX_DIGITS = 20
"""Greatest length of a whole number in text: 64 bits and a sign."""
MAX_NUMBER_CHARS = 64
"""Greatest length of a number with a fraction or an exponent in text."""

_REMEDY = "It is ignored; check the program that wrote it."
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_WHOLE_NUMBER = re.compile(r"-?[0-9]+")
_NUMBER = re.compile(r"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")


class DecodingError(HalldoorError):
    """Data from outside can't be decoded, or exceeds a bound."""

    def __init__(self, message: str, *, remedy: str = _REMEDY) -> None:
        super().__init__(message, remedy=remedy)


class decoding:
    """Context that raises `DecodingError` for any exception of the code in it.

    For blocks that only decode and convert: whatever fails in them is a fault of the data.

    Parameters
    ----------
    origin : str
        What is decoded, for error messages.
    """

    __slots__ = ("_origin",)

    def __init__(self, origin: str) -> None:
        self._origin = origin

    def __enter__(self) -> None:
        """Enter the block."""

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: object
    ) -> None:
        """Convert the exception that ended the block, if any."""
        if isinstance(exc, DecodingError):
            raise DecodingError(f"{self._origin}: {exc.message}", remedy=exc.remedy) from exc
        if isinstance(exc, Exception) and not isinstance(exc, HalldoorError):
            text = str(exc)[:200] or type(exc).__name__
            raise DecodingError(f"{self._origin} can't be decoded: {text}.") from exc


def decode_json(
    data: bytes, kind: type[T], *, origin: str, max_bytes: int = MAX_BYTES, strict: bool = True
) -> T:
    """Decode JSON to a type.

    Parameters
    ----------
    origin : str
        What is decoded, for error messages.
    max_bytes : int, optional
        Greatest size of the data, in bytes.
    strict : bool, optional
        Whether numbers may not be written as strings.

    Raises
    ------
    DecodingError
        If the data is too large, is nested more than `MAX_DEPTH` deep or does not match the type.
    """
    with decoding(origin):
        _check_size(data, max_bytes)
        if not is_shallow(data):
            raise DecodingError(f"nested more than {MAX_DEPTH} deep, or not closed.")
        return msgspec.json.decode(data, type=kind, strict=strict)


def decode_msgpack(data: bytes, kind: Any, *, origin: str, max_bytes: int = MAX_BYTES) -> Any:
    """Decode MessagePack to a type; parameters and errors as of `decode_json`.

    The interpreter's recursion limit bounds the depth.
    """
    with decoding(origin):
        _check_size(data, max_bytes)
        return msgspec.msgpack.decode(data, type=kind)


def decode_each(
    rows: Iterable[Row], decode: Callable[[Row], T], *, on_odd: Callable[[DecodingError], None]
) -> list[T]:
    """Decode rows one by one, so that an odd one costs only itself.

    Parameters
    ----------
    decode : callable
        Decodes a row; raises `DecodingError` if that fails.
    on_odd : callable
        Called with the error of each row, which is left out.
    """
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row))
        except DecodingError as exc:
            on_odd(exc)
    return decoded


def decode_base64(text: str, *, origin: str) -> bytes:
    """Decode standard base64; raise `DecodingError` for any other text."""
    with decoding(origin):
        return binascii.a2b_base64(text, strict_mode=True)


def decompress(data: bytes, *, origin: str, max_bytes: int = MAX_BYTES) -> bytes:
    """Decompress zlib data; raise `DecodingError` if it has more than `max_bytes`."""
    with decoding(origin):
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, max_bytes)
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise DecodingError(f"larger than {max_bytes} bytes, or not complete.")
        return plain


def parse_int(text: str | bytes, *, lowest: int, highest: int, origin: str) -> int:
    """Parse a whole number in ASCII digits.

    Raises
    ------
    DecodingError
        If the text is anything else, or the number is out of range.
    """
    plain = _read_text(text)
    if len(plain) > MAX_DIGITS or not _WHOLE_NUMBER.fullmatch(plain):
        raise DecodingError(f"{origin}: {plain[:MAX_DIGITS]!r} is not a whole number.")
    number = int(plain)
    if not lowest <= number <= highest:
        raise DecodingError(f"{origin}: {number} is not from {lowest} to {highest}.")
    return number


def parse_float(text: str | bytes, *, lowest: float, highest: float, origin: str) -> float:
    """Parse a finite number in ASCII digits; errors as of `parse_int`."""
    plain = _read_text(text)
    if len(plain) > MAX_NUMBER_CHARS or not _NUMBER.fullmatch(plain):
        raise DecodingError(f"{origin}: {plain[:MAX_DIGITS]!r} is not a number.")
    number = float(plain)
    if not (math.isfinite(number) and lowest <= number <= highest):
        raise DecodingError(f"{origin}: {number} is not from {lowest} to {highest}.")
    return number


def is_shallow(data: bytes, *, depth: int = MAX_DEPTH) -> bool:
    """Check whether JSON is nested at most `depth` deep and its brackets are balanced.

    Each pass removes the innermost brackets, so that deep nesting is found without recursion.
    """
    if data.count(b"[") + data.count(b"{") <= depth:
        return True
    plain = _STRING.sub(b"", data) if b"\\" in data else b"".join(data.split(b'"')[::2])
    brackets = plain.translate(None, _NO_BRACKETS)
    for _ in range(depth):
        if not brackets:
            return True
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
    return not brackets


def _check_size(data: bytes, max_bytes: int) -> None:
    """Raise `DecodingError` if the data has more than `max_bytes`."""
    if len(data) > max_bytes:
        raise DecodingError(f"{len(data)} bytes, more than {max_bytes}.")


def _read_text(text: str | bytes) -> str:
    """Return the text without the white space that HTTP allows around a value."""
    plain = text.decode("latin-1") if isinstance(text, bytes) else text
    return plain.strip(" \t")
