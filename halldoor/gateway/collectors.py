"""Prometheus collectors that take any text as a label's value, and their text format."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aioprometheus
from aioprometheus.formats import text


class Counter(aioprometheus.Counter):  # type: ignore[misc]
    """A counter."""

    def add(self, labels: Any, value: Any) -> None:
        """Add a value."""
        _record(super().add, labels, value)


class Gauge(aioprometheus.Gauge):  # type: ignore[misc]
    """A gauge."""

    def set(self, labels: Any, value: Any) -> None:
        """Set the value."""
        _record(super().set, labels, value)


class Histogram(aioprometheus.Histogram):  # type: ignore[misc]
    """A histogram."""

    def observe(self, labels: Any, value: Any) -> None:
        """Add an observation."""
        _record(super().add, labels, value)


def render(registry: aioprometheus.Registry) -> bytes:
    """Return all metrics of a registry in the Prometheus text format."""
    return _Formatter().marshall(registry)


class _Formatter(text.TextFormatter):  # type: ignore[misc]
    """Formatter that escapes label values, as the text format demands."""

    def _format_line(self, name: str, labels: Any, value: Any, const_labels: Any) -> str:
        """Format a sample."""
        escaped = {k: _escape(str(v)) for k, v in (labels or {}).items()}
        return str(super()._format_line(name, escaped, value, const_labels))


def _record(method: Callable[[Any, Any], None], labels: Any, value: Any) -> None:
    """Call a method of a collector, with other labels if it can't encode them."""
    try:
        method(labels, value)
    except TypeError:
        method(_replace_unencodable(labels), value)


def _escape(value: str) -> str:
    """Escape a label's value."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _replace_unencodable(labels: dict[str, Any]) -> dict[str, str]:
    """Replace the characters of labels that can't be encoded."""
    return {k: str(v).encode(errors="replace").decode() for k, v in labels.items()}
