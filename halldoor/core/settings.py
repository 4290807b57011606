"""Settings of the entry and administration processes, and validation of plain data."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec

from halldoor.core.bounds import Bytes, Port, PositiveSeconds
from halldoor.core.errors import SettingsError

T = TypeVar("T")


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port; port 0 lets the kernel choose a port."""

    ip: str
    port: Port

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of ``halldoor-entry``.

    Attributes
    ----------
    name : str
        Name of this entry in the hall's roster.
    hall : str
        Hall that the entry belongs to.
    http, wire : Address
        Addresses at which it serves callers (HTTP) and other entries.
    platform : str
        URL of the platform's key-value service.
    decision_key : str
        Shared secret that signs decision records, 16 characters or more.
    source_ip : str
        Local address of connections to entries and the platform; any if empty.
    peers : list of Address
        Wire addresses of entries from which to get the configuration when the platform is down.
    """

    name: str
    hall: str
    http: Address
    wire: Address
    platform: str
    decision_key: str
    peers: list[Address] = []
    source_ip: str = ""
    workers: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 48
    lookup_max_age_s: Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)] = 3.0
    ticket_lifetime_s: PositiveSeconds = 60.0
    gossip_period_s: PositiveSeconds = 0.4
    probe_period_s: PositiveSeconds = 0.8
    max_body_bytes: Bytes = 268_435_456
    caller_timeout_s: PositiveSeconds = 10.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0
    queue_s: Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)] = 0.05
    policy: str = "two-choices"
    rotate_relays: bool = False
    strict_invariants: bool = False
    rest_at_start: bool = True
    log_format: str = "json"


class AdminSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of ``halldoor-admin``."""

    http: Address
    platform: str
    decision_key: str
    bootstrap_token_sha256: str = ""
    log_format: str = "json"


def parse(data: Any, kind: type[T], *, origin: str, strict: bool = True) -> T:
    """Convert plain data to a type, and check it against the type's schema.

    Parameters
    ----------
    data : object
        Plain data, as parsed from YAML or JSON.
    kind : type
        Type that defines the schema.
    origin : str
        Name of the file, for error messages.
    strict : bool, optional
        Whether numbers may not be written as strings.

    Raises
    ------
    SettingsError
        If the data doesn't match; names the file, the path in it, the given and the expected value.
    """
    try:
        return msgspec.convert(data, type=kind, strict=strict)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{origin}: {exc}.", remedy=_find_remedy(str(exc), data)) from exc
    except Exception as exc:  # Such as nesting beyond the recursion limit.
        raise SettingsError(
            f"{origin}: it can't be read ({type(exc).__name__}).",
            remedy="Check its nesting, and its figures for their length.",
        ) from exc


def _find_remedy(problem: str, data: Any) -> str:
    """Return the remedy for a schema error, with the value that was given."""
    _, found, path = problem.partition(" - at `$")
    given = _get_at_path(data, path.rstrip("`")) if found else data
    if "unknown field" in problem:
        return "Remove the field or check its spelling in docs/reference.md."
    if "missing required field" in problem:
        return "Add the field; docs/reference.md lists them."
    try:
        shown = str(given)[:80]
    except (ValueError, RecursionError):
        shown = f"a very long {type(given).__name__}"
    return f"Given: {shown!r}. Change it to the type that is wanted."


def _get_at_path(data: Any, path: str) -> Any:
    """Return the value at a path such as ``.halls[0].name``, or the last one that exists on it."""
    for step in path.replace("[", ".").replace("]", "").split("."):
        if not step:
            continue
        try:
            data = data[int(step)] if isinstance(data, list) else data[step]
        except (LookupError, ValueError, TypeError):
            return data
    return data
