"""Reading of settings and configuration files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import yaml

from halldoor.core.decoding import MAX_BYTES, MAX_DEPTH, DecodingError, decoding
from halldoor.core.errors import SettingsError
from halldoor.core.fields import Fields, parse_fields
from halldoor.core.settings import parse

T = TypeVar("T")

MAX_ALIASED = 100_000
"""Values that a YAML file of any length may have with its aliases expanded."""


def load_yaml(path: Path) -> Any:
    """Return the content of a YAML file.

    Raises
    ------
    SettingsError
        If the file can't be read or isn't YAML.
    """
    try:
        with path.open("rb") as file:
            text = file.read(MAX_BYTES + 1).decode()
    except OSError as exc:
        raise SettingsError(
            f"{path}: {exc.strerror}.", remedy="Check the path and the permissions."
        ) from exc
    except ValueError as exc:
        raise SettingsError(
            f"{path}: the file isn't UTF-8 text.", remedy="Save it as UTF-8."
        ) from exc
    return parse_yaml(text, origin=str(path))


def parse_yaml(text: str, *, origin: str) -> Any:
    """Parse YAML text.

    Parameters
    ----------
    origin : str
        Source of the text, for error messages.

    Raises
    ------
    SettingsError
        If it isn't YAML, is nested more than `MAX_DEPTH` deep, or too large with its aliases
        expanded.
    """
    try:
        with decoding(origin):
            return _load(text, origin=origin)
    except DecodingError as exc:
        raise SettingsError(exc.message, remedy="Check the file.") from exc


def _load(text: str, *, origin: str) -> Any:
    """Load YAML text; raise `SettingsError` with the place where it isn't YAML."""
    try:
        data = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, RecursionError) as exc:
        mark = getattr(exc, "problem_mark", None)
        where = f" at line {mark.line + 1}, column {mark.column + 1}" if mark else ""
        raise SettingsError(
            f"{origin}: not YAML{where}.", remedy="Check the indentation and quotes there."
        ) from exc
    values = _find_extent(data, MAX_DEPTH, {}).values
    if len(text) > MAX_BYTES or values > max(MAX_ALIASED, len(text)):
        raise DecodingError("Too large.")
    return data


class _Extent(NamedTuple):
    """Number of values in YAML data with its aliases expanded, and its levels of nesting."""

    values: int
    levels: int


def _find_extent(data: Any, depth: int, known: dict[int, _Extent]) -> _Extent:
    """Return the extent of YAML data.

    Parameters
    ----------
    depth : int
        Levels of nesting that are allowed.
    known : dict of int to _Extent
        Extents of the lists and objects that are known, by identity.
    """
    if not isinstance(data, dict | list):
        return _Extent(1, 0)
    extent = known.get(id(data))
    if depth == 0 or (extent is not None and extent.levels > depth):
        raise DecodingError(f"Nested more than {MAX_DEPTH} deep.")
    if extent is None:
        children = data.values() if isinstance(data, dict) else data
        parts = [_find_extent(child, depth - 1, known) for child in children]
        levels = 1 + max((part.levels for part in parts), default=0)
        extent = known[id(data)] = _Extent(1 + sum(part.values for part in parts), levels)
    return extent


def load_settings(path: Path, kind: type[T]) -> T:
    """Read a YAML settings file and validate it against a class."""
    return parse(load_yaml(path), kind, origin=str(path))


def load_fields(path: Path, kind: type[T], previous: T | None = None) -> Fields[T]:
    """Read a YAML settings file; optional fields that can't be read are left out.

    Parameters
    ----------
    previous : struct, optional
        Settings in force, whose values such fields keep.

    Raises
    ------
    SettingsError
        If the file can't be read, or lacks a required field.
    """
    return parse_fields(load_yaml(path), kind, origin=str(path), previous=previous)
