"""Path and query of a request's target."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import parse_qsl


class Query(NamedTuple):
    """Path of a request's target, and the fields of its query by name."""

    path: str
    fields: dict[str, str]


def parse_query(target: str) -> Query:
    """Parse the target of a request, whatever a caller sent; the last of equal fields counts."""
    path, _, query = target.partition("?")
    return Query(path, dict(parse_qsl(query, keep_blank_values=True)))
