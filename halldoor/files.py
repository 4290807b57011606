"""Reading of settings and configuration files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import yaml

from halldoor.core.errors import SettingsError
from halldoor.core.settings import parse

T = TypeVar("T")


def load_yaml(path: Path) -> Any:
    """Return the content of a YAML file.

    Raises
    ------
    SettingsError
        If the file can't be read or isn't YAML.
    """
    try:
        text = path.read_text()
    except OSError as exc:
        raise SettingsError(
            f"{path}: {exc.strerror}.", remedy="Check the path and the permissions."
        ) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(
            f"{path}: the file isn't UTF-8 text.", remedy="Save it as UTF-8."
        ) from exc
    return parse_yaml(text, origin=str(path))


def parse_yaml(text: str, *, origin: str) -> Any:
    """Parse YAML text; error messages name ``origin`` as its source."""
    try:
        return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, RecursionError) as exc:
        mark = getattr(exc, "problem_mark", None)
        where = f" at line {mark.line + 1}, column {mark.column + 1}" if mark else ""
        raise SettingsError(
            f"{origin}: not YAML{where}.", remedy="Check the indentation and quotes there."
        ) from exc


def load_settings(path: Path, kind: type[T]) -> T:
    """Read a YAML settings file and validate it against a class."""
    return parse(load_yaml(path), kind, origin=str(path))
