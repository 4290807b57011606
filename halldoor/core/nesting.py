"""Takes nested values out of JSON by its brackets, without decoding it.

A decoder takes or rejects a text as a whole.  Here a value that it would reject, such as one that
is nested too deeply or is no JSON, is cut out, so that it affects only what contains it.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from halldoor.core.decoding import MAX_DEPTH, DecodingError

ROW_DEPTH = 2
"""Depth of the rows of a list in an object."""
MAX_ROWS = 200_000
"""Greatest number of rows that are split off."""

_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+(?:"|\\?\Z))*+([\[{]++|[\]}]++|\Z)', re.DOTALL
)


def replace_nested(data: bytes, depth: int, replace: Callable[[bytes], bytes]) -> bytes:
    """Replace each list and object that lies at a depth.

    Parameters
    ----------
    depth : int
        Number of lists and objects that contain the value.
    replace : callable
        Returns the bytes to write in place of a value.

    Raises
    ------
    DecodingError
        If a value is not closed.
    """
    parts = []
    reached = kept_from = opened_at = 0
    for run in _BRACKETS.finditer(data):
        begin, end = run.span(1)
        if data[begin:end].startswith((b"[", b"{")):
            if reached <= depth < reached + end - begin:
                opened_at = begin + depth - reached
                parts.append(data[kept_from:opened_at])
            reached += end - begin
        else:
            if reached > depth >= reached - (end - begin):
                kept_from = begin + reached - depth
                parts.append(replace(data[opened_at:kept_from]))
            reached -= end - begin
    if reached > depth:
        raise DecodingError("A list or an object is not closed.")
    return b"".join([*parts, data[kept_from:]])


def drop_nested(data: bytes, *, depth: int = MAX_DEPTH) -> bytes:
    """Replace what is nested more than `depth` deep by null; errors as of `replace_nested`."""
    return replace_nested(data, depth, lambda _: b"null")


def split_rows(data: bytes) -> tuple[bytes, list[bytes]]:
    """Split the rows off an object with lists of rows.

    Returns
    -------
    tuple of (bytes, list of bytes)
        The object with a list of one number in place of each row, the row's index, and the rows.

    Raises
    ------
    DecodingError
        If a row is not closed, or there are more than `MAX_ROWS`.

    Examples
    --------
    >>> split_rows(b'{"items":[{"key":"a"},5,{"key":"b"}],"revision":3}')
    (b'{"items":[[0],5,[1]],"revision":3}', [b'{"key":"a"}', b'{"key":"b"}'])
    """
    rows: list[bytes] = []

    def number(row: bytes) -> bytes:
        if len(rows) == MAX_ROWS:
            raise DecodingError(f"more than {MAX_ROWS} rows.")
        rows.append(row)
        return b"[%d]" % (len(rows) - 1)

    return replace_nested(data, ROW_DEPTH, number), rows
