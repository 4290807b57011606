"""Audit records of configuration changes, and the differences that they list."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from halldoor.core.decoding import DecodingError, decode_each, decode_msgpack


class AuditRecord(msgspec.Struct, frozen=True):
    """The record of an accepted or refused change of the configuration.

    Attributes
    ----------
    revision : int
        Revision that the change made; 0 if it was refused.
    change_id : str
        Id of the change.
    who, when : str
        Team that made the change, and time of the change.
    verb, outcome : str
        Kind of change, and ``accepted`` or the reason of the refusal.
    previous : str
        Digest of the preceding record, so that a missing record is noticed.
    before, after : list
        The old and new values that differ, as ``path: value`` lines.
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


def decode_audit(data: bytes) -> AuditRecord:
    """Decode an audit record; raise `DecodingError` if that fails."""
    record: AuditRecord = decode_msgpack(data, AuditRecord, origin="an audit record")
    return record


def decode_refused(data: bytes, *, on_odd: Callable[[str], None]) -> list[AuditRecord]:
    """Decode a list of refused changes.

    Parameters
    ----------
    on_odd : callable
        Called with the problem of each record, or of the whole list, that is left out.
    """
    try:
        rows = decode_msgpack(data, list[msgspec.Raw], origin="the list of refused changes")
    except DecodingError as exc:
        on_odd(exc.message)
        return []
    return decode_each(
        rows, lambda row: decode_audit(bytes(row)), on_odd=lambda exc: on_odd(exc.message)
    )


class Difference(NamedTuple):
    """One value that differs between two configurations; None where it is absent."""

    path: str
    before: Any
    after: Any

    def to_text(self) -> str:
        """Format the difference as one line: ``+`` added, ``-`` removed, ``~`` changed."""
        if self.before is None:
            return f"+ {self.path}: {_format_short(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_format_short(self.before)}"
        return f"~ {self.path}: {_format_short(self.before)} -> {_format_short(self.after)}"


def compare(before: Any, after: Any, path: str = "") -> Iterator[Difference]:
    """Yield the differences between two values of plain data (as from JSON).

    Lists of named mappings are compared by name, other lists as a whole.

    Parameters
    ----------
    path : str, optional
        Path of both values, the prefix of the paths in the differences.
    """
    if before == after:
        return
    left, right = _to_mapping(before), _to_mapping(after)
    if left is None or right is None:
        yield Difference(path or ".", before, after)
        return
    for key in sorted(left.keys() | right.keys()):
        inner = f"{path}.{key}" if path else key
        if key not in left or key not in right:
            yield Difference(inner, left.get(key), right.get(key))
        else:
            yield from compare(left[key], right[key], inner)


def _to_mapping(value: Any) -> dict[str, Any] | None:
    """Return a mapping, or a list of named mappings, as a mapping by name; else None."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        names = [_get_name(v) for v in value]
        if all(names) and len(set(names)) == len(names):
            return dict(zip(names, value, strict=True))
    return {} if value == [] else None


def _get_name(value: dict[str, Any]) -> str:
    """Return the name of a list element: its link, name or hall; empty if it has none."""
    if "origin" in value:
        return f"{value['origin']}->{value.get('destination')}"
    return str(value.get("name") or value.get("hall") or "")


def _format_short(value: Any, limit: int = 160) -> str:
    """Format a value as JSON, cut to ``limit`` characters."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= limit else text[: limit - 1] + "…"
