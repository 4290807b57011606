"""Laws of taking nested values out of JSON."""

from __future__ import annotations

import contextlib
import json
from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st

from halldoor.core.decoding import MAX_DEPTH, DecodingError, is_shallow
from halldoor.core.nesting import drop_nested, split_rows

SCALARS = st.none() | st.booleans() | st.integers() | st.text()
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=20
)
ROWS = st.lists(st.dictionaries(st.text(), VALUES, max_size=3), max_size=5)


def nest(value: Any, depth: int) -> Any:
    """Wrap a value in lists."""
    for _ in range(depth):
        value = [value]
    return value


def measure_depth(value: Any) -> int:
    """Return how many lists and objects lie within each other."""
    if not isinstance(value, list | dict):
        return 0
    inner = value.values() if isinstance(value, dict) else value
    return 1 + max(map(measure_depth, inner), default=0)


@given(ROWS, VALUES, st.booleans())
def test_rows_are_split_off_unchanged(rows, extra, is_ascii):
    data = json.dumps({"rows": rows, "extra": extra, "n": 3}, ensure_ascii=is_ascii).encode()
    outline, parts = split_rows(data)
    decoded = json.loads(outline)
    assert [json.loads(parts[i]) for (i,) in decoded["rows"]] == rows
    assert decoded["n"] == 3


@given(VALUES, st.integers(0, 40))
@example(None, 31)
@example(None, 32)
def test_only_what_is_nested_deeply_is_dropped(value, depth):
    data = json.dumps({"sound": value, "deep": nest(5, depth)}).encode()
    kept = drop_nested(data)
    assert is_shallow(kept)
    assert json.loads(kept)["sound"] == value
    assert (kept == data) is (measure_depth(json.loads(data)) <= MAX_DEPTH)


@given(st.binary() | st.text(alphabet='[]{}",:\\ 5').map(str.encode))
@example(b"]" * 40 + b"[" * 40)
def test_any_bytes_are_split_or_rejected(data):
    with contextlib.suppress(DecodingError):
        split_rows(data)
    with contextlib.suppress(DecodingError):
        drop_nested(data)
