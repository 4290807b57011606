"""The platform over its HTTP protocol."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec
import urllib3

from halldoor.core.errors import PlatformError
from halldoor.keyvalue.base import (
    VALUE_LIMIT,
    HostState,
    Platform,
    UncertainWriteError,
    Value,
    WriteConflictError,
)

_REMEDY = "Check the platform; halldoor goes on with what it holds."
_ANSWER_LIMIT = 4_000_000


class HttpPlatform(Platform):
    """Client of the platform's HTTP protocol.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:7000``.
    timeout_s : float
        Longest wait for an answer other than a watch's.
    source_ip : str, optional
        Address that connections go out from.
    """

    def __init__(self, url: str, *, timeout_s: float = 1.0, source_ip: str = "") -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        # No retries by the library: a repeated write must be decided here.
        source = (source_ip, 0) if source_ip else None
        self._pool = urllib3.PoolManager(maxsize=8, retries=False, source_address=source)

    def get(self, key: str) -> Value | None:
        """Read a key."""
        response = self._request("GET", f"/kv/{quote(key)}")
        if response.status == 404:
            return None
        _expect(response, 200)
        return Value(response.data, _read_version(response))

    def put(self, key: str, data: bytes, *, expected: int | None, lease: str = "") -> int:
        """Write a key by compare-and-swap."""
        if len(data) > VALUE_LIMIT:
            raise PlatformError(
                f"Value of {key} has {len(data)} bytes; {VALUE_LIMIT} fit.", remedy="Split it."
            )
        query = "" if expected is None else f"?expected={expected}"
        headers = {"Platform-Lease": lease} if lease else {}
        try:
            response = self._request("PUT", f"/kv/{quote(key)}{query}", body=data, headers=headers)
        except PlatformError as exc:
            raise UncertainWriteError(
                f"The answer to a write of {key} was lost.", remedy="Read the key back."
            ) from exc
        if response.status == 409:
            raise WriteConflictError(
                f"{key} was changed by another.", remedy="Read it again and repeat the change."
            )
        if response.status in (400, 413):
            _expect(response, 200)
        if response.status != 200:
            raise UncertainWriteError(
                f"A write of {key} was answered {response.status}.", remedy="Read the key back."
            )
        return _read_version(response)

    def watch(self, key: str, *, after: int, timeout_s: float) -> Value | None:
        """Wait for a version above ``after``."""
        path = f"/watch/{quote(key)}?after={after}&timeout_s={timeout_s:.1f}"
        response = self._request("GET", path, timeout_s=timeout_s + self._timeout_s)
        if response.status in (204, 404):
            return None
        _expect(response, 200)
        return Value(response.data, _read_version(response))

    def create_lease(self, ttl_s: float) -> str:
        """Create a lease."""
        response = self._request("POST", f"/leases?ttl_s={ttl_s}")
        _expect(response, 200)
        return response.data.decode(errors="replace")

    def renew_lease(self, lease: str) -> None:
        """Renew a lease."""
        _expect(self._request("POST", f"/leases/{quote(lease)}/renew"), 200)

    def end_lease(self, lease: str) -> None:
        """End a lease."""
        _expect(self._request("DELETE", f"/leases/{quote(lease)}"), 200)

    def list_hosts(self) -> list[HostState]:
        """List live and leaving hosts."""
        response = self._request("GET", "/hosts")
        _expect(response, 200)
        try:
            return msgspec.json.decode(response.data, type=list[HostState])
        except msgspec.MsgspecError as exc:
            raise PlatformError("The host list can't be read.", remedy=_REMEDY) from exc

    def _request(self, method: str, path: str, *, timeout_s: float = 0.0, **options: Any) -> Any:
        """Make one request; every fault is a `PlatformError`."""
        try:
            response = self._pool.request(
                method,
                self._url + path,
                timeout=urllib3.Timeout(total=timeout_s or self._timeout_s),
                redirect=False,
                preload_content=False,
                **options,
            )
            try:
                data = response.read(_ANSWER_LIMIT + 1)
                if len(data) > _ANSWER_LIMIT:
                    raise PlatformError("The platform's answer is too long.", remedy=_REMEDY)
            except BaseException:
                response.close()
                raise
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise PlatformError(
                f"The platform did not answer {method} {path}: {type(exc).__name__}.",
                remedy=_REMEDY,
            ) from exc
        return _Response(response.status, data, response.headers.get("Platform-Version", ""))


class _Response(msgspec.Struct):
    """A whole answer."""

    status: int
    data: bytes
    version: str


def _expect(response: _Response, status: int) -> None:
    """Turn an unexpected status into an error."""
    if response.status != status:
        raise PlatformError(f"The platform answered {response.status}.", remedy=_REMEDY)


def _read_version(response: _Response) -> int:
    """Read the version header."""
    try:
        return int(response.version)
    except ValueError as exc:
        raise PlatformError("The platform's answer has no version.", remedy=_REMEDY) from exc
