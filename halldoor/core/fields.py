"""Reading of settings field by field, so that one that can't be read affects itself only."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Generic, NamedTuple, TypeVar, get_origin

import msgspec

from halldoor.core.errors import SettingsError
from halldoor.core.settings import parse

T = TypeVar("T")

NAMED_FIELDS = 10
"""Greatest number of fields that a text names."""
NAME_CHARS = 64
"""Greatest length of a name from the data, in characters."""


class Fields(NamedTuple, Generic[T]):
    """Settings whose fields were read one by one.

    Attributes
    ----------
    value : struct
        The settings.
    unread : tuple of str
        Places of the fields that can't be read, and of names that are not known.
    """

    value: T
    unread: tuple[str, ...]


def parse_fields(
    data: Any, kind: type[T], *, origin: str, previous: T | None = None, strict: bool = True
) -> Fields[T]:
    """Convert plain data to a struct, each optional field and each row of a table by itself.

    A field that can't be read keeps its previous value, or takes its default if there is none; so
    does each field of a struct in it.  A row of a table is left out.

    Parameters
    ----------
    data : object
        Plain data, as parsed from YAML or JSON.
    kind : type
        Struct that defines the schema.
    origin : str
        Name of the file, for error messages.
    previous : struct, optional
        Settings that are in force.
    strict : bool, optional
        Whether numbers may not be written as strings.

    Raises
    ------
    SettingsError
        If a required field is missing or can't be read.
    """
    reader = _Reader(origin, strict)
    value = reader.read_struct(data, kind, previous, "")
    return Fields(value, tuple(reader.unread))


def describe_fields(names: tuple[str, ...]) -> str:
    """Return a text that names the first `NAMED_FIELDS` fields."""
    more = len(names) - NAMED_FIELDS
    return ", ".join(names[:NAMED_FIELDS]) + (f" and {more} more" if more > 0 else "")


class _Reader:
    """Reads structs by their fields."""

    def __init__(self, origin: str, strict: bool) -> None:
        self._origin = origin
        self._strict = strict
        self.unread: list[str] = []

    def read_struct(self, data: Any, kind: type[T], previous: T | None, place: str) -> T:
        """Read a struct; raise `SettingsError` if a required field can't be read."""
        fields = msgspec.structs.fields(kind)  # type: ignore[arg-type]
        required = {f.encode_name for f in fields if f.required}
        if not isinstance(data, dict) or not required <= data.keys():
            return self._reject(data, kind, place)
        values = {}
        for field in fields:
            if field.encode_name not in data:
                continue
            inner = _join(place, field.encode_name)
            before = getattr(previous, field.name, None)
            try:
                value = self._read_value(data[field.encode_name], field.type, before, inner)
            except SettingsError:
                if field.required:
                    raise
                self.unread.append(inner)
                if previous is None:
                    continue
                value = before
            values[field.name] = value
        known = {f.encode_name for f in fields}
        if kind.__struct_config__.forbid_unknown_fields:  # type: ignore[attr-defined]
            self.unread += [_join(place, name) for name in data if name not in known]
        return kind(**values)

    def _reject(self, data: Any, kind: type[T], place: str) -> T:
        """Raise the error of data that is no object, or lacks required fields."""
        if isinstance(data, dict):
            required = {f.encode_name for f in msgspec.structs.fields(kind) if f.required}  # type: ignore[arg-type]
            data = {name: value for name, value in data.items() if name in required}
        return self._parse(data, kind, place)

    def _read_value(self, value: Any, kind: Any, previous: Any, place: str) -> Any:
        """Read a value; raise `SettingsError` if it can't be read."""
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            return self.read_struct(value, kind, previous, place)
        if get_origin(kind) is dict and isinstance(value, dict):
            return self._read_table(value, kind, previous, place)
        return self._parse(value, kind, place)

    def _read_table(
        self, rows: dict[Any, Any], kind: Any, previous: Mapping[str, Any] | None, place: str
    ) -> dict[str, Any]:
        """Read the rows of a table; one that can't be read keeps its previous value."""
        table: dict[str, Any] = {}
        for name, row in rows.items():
            inner = _join(place, name)
            try:
                table |= self._parse({name: row}, kind, inner)
            except SettingsError:
                self.unread.append(inner)
                if previous is not None and name in previous:
                    table[name] = previous[name]
        return table

    def _parse(self, value: Any, kind: Any, place: str) -> Any:
        """Convert a value as a whole; raise `SettingsError` if that fails."""
        origin = f"{self._origin}, {place}" if place else self._origin
        return parse(value, kind, origin=origin, strict=self._strict)


def _join(place: str, name: Any) -> str:
    """Return the place of a field or row."""
    text = name if isinstance(name, str) else repr(name)
    text = text[:NAME_CHARS].encode(errors="replace").decode()
    return f"{place}.{text}" if place else text
