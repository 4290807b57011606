"""Read settings and configuration files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import yaml

from halldoor.core.errors import SettingsError
from halldoor.core.settings import parse

T = TypeVar("T")


def load_yaml(path: Path) -> Any:
    """Read a YAML file.

    Raises
    ------
    SettingsError
        Where the file is missing or no YAML.
    """
    try:
        text = path.read_text()
    except OSError as exc:
        raise SettingsError(
            f"{path}: {exc.strerror}.", remedy="Check the path and the permissions."
        ) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path}: not UTF-8 text.", remedy="Save it as UTF-8.") from exc
    return parse_yaml(text, origin=str(path))


def parse_yaml(text: str, *, origin: str) -> Any:
    """Parse YAML text; `origin` names it in messages."""
    try:
        return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, RecursionError) as exc:
        mark = getattr(exc, "problem_mark", None)
        where = f" at line {mark.line + 1}, column {mark.column + 1}" if mark else ""
        raise SettingsError(
            f"{origin}: not YAML{where}.", remedy="Check the indentation and quotes there."
        ) from exc


def load_settings(path: Path, kind: type[T]) -> T:
    """Read and check a settings file."""
    return parse(load_yaml(path), kind, origin=str(path))
