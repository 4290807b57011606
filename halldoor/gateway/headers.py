"""Header names used by callers and targets, which an adapter may replace, and header helpers."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, as ``(name, value)``."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that are not forwarded (RFC 9110, 7.6.1)."""


FORWARDED_BY = b"halldoor-forwarded-by"
"""Field with the name of the entry that forwards a request, and the address of its caller."""
UNADMITTED = b"halldoor-unadmitted"
"""Field by which an entry says that only its own configuration refuses a forwarded request."""


class HeaderNames(NamedTuple):
    """Names of the header fields that the gateway reads or sets, in lower case."""

    attempt_id: bytes = b"halldoor-attempt"
    deadline_ms: bytes = b"halldoor-deadline-ms"
    affinity_key: bytes = b"halldoor-affinity-key"
    signature: bytes = b"halldoor-signature"
    expected_incarnation: bytes = b"halldoor-expect-target"
    load: bytes = b"halldoor-load"
    not_run: bytes = b"halldoor-not-run"
    team: bytes = b"halldoor-team"
    credentials: bytes = b"authorization"
    incarnation: bytes = b"halldoor-target"
    cold_ms: bytes = b"halldoor-cold-ms"
    limit: bytes = b"halldoor-limit"
    leaving: bytes = b"halldoor-leaving"

    @property
    def statement_fields(self) -> dict[bytes, str]:
        """Attributes of `TargetStatement` by the names of their header fields."""
        return {self.limit: "limit", self.leaving: "leaving", b"retry-after": "retry_after"}


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a header field, or empty; ``name`` in lower case."""
    for field, value in headers:
        if field.lower() == name:
            return value
    return b""


def is_too_long(headers: Headers, limit: int) -> bool:
    """Check whether header fields, as they are sent, exceed a limit in bytes."""
    return sum(len(n) + len(v) + 4 for n, v in headers) > limit


def drop_hop_by_hop(
    headers: Iterable[tuple[bytes, bytes]], *, kept: Collection[bytes] = ()
) -> Headers:
    """Return the fields that are forwarded.

    Hop-by-hop fields and those that ``Connection`` lists are dropped, and so is a length beside
    ``Transfer-Encoding``, which overrides it (RFC 9112, 6.3).

    Parameters
    ----------
    kept : collection of bytes, optional
        Names of fields that are forwarded even if ``Connection`` lists them, in lower case.
    """
    fields = [(name, value, name.lower()) for name, value in headers]
    dropped = {
        token.strip().lower()
        for _, value, key in fields
        if key == b"connection"
        for token in value.split(b",")
    }.difference(kept)
    if any(key == b"transfer-encoding" for *_, key in fields):
        dropped.add(b"content-length")
    return [(n, v) for n, v, key in fields if key not in HOP_BY_HOP and key not in dropped]


def replace(headers: Headers, name: bytes, value: bytes) -> Headers:
    """Return the fields with all fields of one name replaced by a single value."""
    return [*((n, v) for n, v in headers if n.lower() != name), (name, value)]
