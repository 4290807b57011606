"""Client of the platform over HTTP."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec
import structlog
import urllib3

from halldoor.client import PoolManager
from halldoor.core.bounds import MAX_REVISION
from halldoor.core.decoding import DecodingError, decode_each, decode_json, parse_int
from halldoor.core.errors import PlatformError
from halldoor.keyvalue.base import (
    MAX_VALUE_BYTES,
    HostState,
    Platform,
    UncertainWriteError,
    Value,
    WriteConflictError,
)

log = structlog.get_logger(part="store")

_REMEDY = "Check the platform; halldoor continues with its cached state."
_MAX_ANSWER_BYTES = 4_000_000
"""Longest body of an answer that is accepted, in bytes."""


class HttpPlatform(Platform):
    """Client of the platform's HTTP protocol.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:7000``.
    timeout_s : float
        Longest wait for an answer, in seconds; a watch adds its own time-out.
    source_ip : str, optional
        Local address of outgoing connections.
    """

    def __init__(self, url: str, *, timeout_s: float = 1.0, source_ip: str = "") -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        # The library must not retry: a write whose answer was lost may have taken effect.
        source = (source_ip, 0) if source_ip else None
        self._pool = PoolManager(maxsize=8, source_address=source)

    def get(self, key: str) -> Value | None:
        """Return the value of a key; None if the key doesn't exist."""
        response = self._request("GET", f"/kv/{quote(key)}")
        if response.status == 404:
            return None
        _check_status(response, 200)
        return Value(response.data, parse_version(response.version))

    def put(self, key: str, data: bytes, *, expected: int | None, lease: str = "") -> int:
        """Write a key by compare-and-swap."""
        if len(data) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"The value of {key} has {len(data)} bytes; at most {MAX_VALUE_BYTES} fit.",
                remedy="Split it.",
            )
        query = "" if expected is None else f"?expected={expected}"
        headers = {"Platform-Lease": lease} if lease else {}
        try:
            response = self._request("PUT", f"/kv/{quote(key)}{query}", body=data, headers=headers)
        except PlatformError as exc:
            raise UncertainWriteError(
                f"No answer to a write of {key} arrived.", remedy="Read the key back."
            ) from exc
        if response.status == 409:
            raise WriteConflictError(
                f"{key} was changed by another writer.",
                remedy="Read it again and repeat the change.",
            )
        if response.status in (400, 413):
            _check_status(response, 200)
        if response.status != 200:
            raise UncertainWriteError(
                f"The platform answered a write of {key} with status {response.status}.",
                remedy="Read the key back.",
            )
        return parse_version(response.version)

    def watch(self, key: str, *, after: int, timeout_s: float) -> Value | None:
        """Wait for a version of the key above ``after``; return None at the time-out."""
        path = f"/watch/{quote(key)}?after={after}&timeout_s={timeout_s:.1f}"
        response = self._request("GET", path, timeout_s=timeout_s + self._timeout_s)
        if response.status in (204, 404):
            return None
        _check_status(response, 200)
        return Value(response.data, parse_version(response.version))

    def create_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        response = self._request("POST", f"/leases?ttl_s={ttl_s}")
        _check_status(response, 200)
        return response.data.decode(errors="replace")

    def renew_lease(self, lease: str) -> None:
        """Renew a lease; raise `PlatformError` if it has expired."""
        _check_status(self._request("POST", f"/leases/{quote(lease)}/renew"), 200)

    def end_lease(self, lease: str) -> None:
        """End a lease before it expires, which deletes its keys at once."""
        _check_status(self._request("DELETE", f"/leases/{quote(lease)}"), 200)

    def list_hosts(self) -> list[HostState]:
        """List running and leaving hosts, both entries and targets."""
        response = self._request("GET", "/hosts")
        _check_status(response, 200)
        return decode_hosts(response.data)

    def _request(self, method: str, path: str, *, timeout_s: float = 0.0, **options: Any) -> Any:
        """Send one request and return the complete answer; raise `PlatformError` for any fault."""
        try:
            answer = self._pool.fetch(
                method,
                self._url + path,
                max_bytes=_MAX_ANSWER_BYTES,
                timeout=urllib3.Timeout(total=timeout_s or self._timeout_s),
                **options,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise PlatformError(
                f"The platform did not answer {method} {path}: {type(exc).__name__}.",
                remedy=_REMEDY,
            ) from exc
        return _Response(answer.status, answer.data, answer.headers.get("Platform-Version", ""))


class _Response(msgspec.Struct):
    """Complete answer of the platform, with the value of its version header."""

    status: int
    data: bytes
    version: str


def decode_hosts(data: bytes) -> list[HostState]:
    """Decode a host list, without the rows that can't be decoded.

    Raises
    ------
    PlatformError
        If it is no list.
    """
    try:
        return decode_json(data, list[HostState], origin="the host list")
    except DecodingError:
        pass
    try:
        rows = decode_json(data, list[msgspec.Raw], origin="the host list")
    except DecodingError as exc:
        raise PlatformError("The platform's host list can't be decoded.", remedy=_REMEDY) from exc
    return decode_each(
        rows,
        lambda row: decode_json(bytes(row), HostState, origin="a row of the host list"),
        on_odd=lambda exc: log.warning("A row of the host list is ignored.", error=str(exc)[:300]),
    )


def _check_status(response: _Response, status: int) -> None:
    """Raise `PlatformError` if an answer doesn't have the expected status."""
    if response.status != status:
        raise PlatformError(f"The platform answered with status {response.status}.", remedy=_REMEDY)


def parse_version(text: str) -> int:
    """Parse the version of a key; raise `PlatformError` if it is none."""
    try:
        return parse_int(text, lowest=0, highest=MAX_REVISION, origin="Platform-Version")
    except DecodingError as exc:
        raise PlatformError(
            "The platform's answer has no valid Platform-Version header.", remedy=_REMEDY
        ) from exc
