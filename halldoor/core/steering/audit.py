"""Audit records: who changed what, when, from what, to what."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec


class AuditRecord(msgspec.Struct, frozen=True):
    """One change, or one that was refused.

    Attributes
    ----------
    previous : str
        Digest of the record before it, so that the trail can't be cut unseen.
    before, after : list
        The values that differ, as ``path: value`` lines.
    """

    revision: int
    change_id: str
    who: str
    when: str
    verb: str
    outcome: str
    previous: str
    before: list[str]
    after: list[str]


class Difference(NamedTuple):
    """One value that differs between two configurations."""

    path: str
    before: Any
    after: Any

    def to_text(self) -> str:
        """Write it as one line for people."""
        if self.before is None:
            return f"+ {self.path}: {_shorten(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_shorten(self.before)}"
        return f"~ {self.path}: {_shorten(self.before)} -> {_shorten(self.after)}"


def compare(before: Any, after: Any, path: str = "") -> Iterator[Difference]:
    """Yield what differs between two pieces of plain data.

    Lists of named things are compared by name, other lists as a whole.
    """
    if before == after:
        return
    left, right = _index(before), _index(after)
    if left is None or right is None:
        yield Difference(path or ".", before, after)
        return
    for key in sorted(left.keys() | right.keys()):
        inner = f"{path}.{key}" if path else key
        if key not in left or key not in right:
            yield Difference(inner, left.get(key), right.get(key))
        else:
            yield from compare(left[key], right[key], inner)


def _index(value: Any) -> dict[str, Any] | None:
    """View a mapping, or a list of named things, as a mapping."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        names = [_get_name(v) for v in value]
        if all(names) and len(set(names)) == len(names):
            return dict(zip(names, value, strict=True))
    return {} if value == [] else None


def _get_name(value: dict[str, Any]) -> str:
    """Name one element of a list."""
    if "origin" in value:
        return f"{value['origin']}->{value.get('destination')}"
    return str(value.get("name") or value.get("hall") or "")


def _shorten(value: Any, limit: int = 160) -> str:
    """Write a value in one short line."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= limit else text[: limit - 1] + "…"
