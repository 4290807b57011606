"""Stand-in for the platform: key-value service, leases, watches, host list and faults."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from halldoor.standins.target import cut_connection

VALUE_LIMIT = 1_000_000
WATCHES_AT_ONCE = 200


class Faults(msgspec.Struct):
    """Faults of the platform, set by ``POST /faults``.

    Attributes
    ----------
    down : bool
        Answer every request with 503.
    slow_s : float
        Delay before each answer, in seconds.
    lose_answers : int
        Number of next writes that are carried out without an answer: the connection is cut.
    rubbish : bool
        Answer with invalid bytes.
    cut_off : list of str
        Callers, by ``Platform-Caller`` header, that can't reach the platform.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    rubbish: bool = False
    cut_off: list[str] = []


class PlatformStandin:
    """The state and the WSGI application of the stand-in."""

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._values: dict[str, tuple[bytes, int, str]] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._version = 0
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.hosts: dict[str, bool] = {}

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one HTTP request, unless a fault prevents it."""
        path = unquote(environ["PATH_INFO"])
        kind = path.split("/")[1]
        if kind == "faults":
            self.faults = msgspec.json.decode(_read_body(environ), type=Faults)
            return _send_answer(start_response, 200, b"ok")
        if kind == "stats":
            return _send_answer(start_response, 200, msgspec.json.encode(self.calls))
        self.calls[f"{environ['REQUEST_METHOD']} {kind}"] += 1
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if self.faults.down:
            return _send_answer(start_response, 503, b"down")
        if self.faults.rubbish:
            return _send_answer(start_response, 200, b"\xff\x00rubbish")
        return self._route(kind, path, environ, start_response)

    def _route(self, kind: str, path: str, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Pass a request to the method for its path."""
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        name = path[len(kind) + 2 :]
        method = environ["REQUEST_METHOD"]
        if kind == "kv" and method == "GET":
            return self._serve_get(name, start)
        if kind == "kv" and method == "PUT":
            lease = environ.get("HTTP_PLATFORM_LEASE", "")
            return self._serve_put(environ, name, query.get("expected"), lease, start)
        if kind == "watch":
            return self._serve_watch(name, int(query["after"]), float(query["timeout_s"]), start)
        if kind == "leases":
            return self._serve_lease(method, name, query, start)
        if kind == "hosts":
            return self._serve_hosts(method, environ, start)
        return _send_answer(start, 404, b"")

    def _drop_expired_leases(self) -> None:
        """Drop expired leases and their keys."""
        now = time.monotonic()
        for lease in [k for k, (_, ends) in self._leases.items() if ends <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease: str) -> None:
        """Drop a lease with its keys."""
        self._leases.pop(lease, None)
        for key in [k for k, v in self._values.items() if lease and v[2] == lease]:
            del self._values[key]

    def _serve_get(self, key: str, start: Any) -> Iterable[bytes]:
        """Answer with the value and version of a key."""
        with self._lock:
            self._drop_expired_leases()
            value = self._values.get(key)
        if value is None:
            return _send_answer(start, 404, b"")
        return _send_answer(start, 200, value[0], version=value[1])

    def _serve_put(
        self, environ: dict[str, Any], key: str, expected: str | None, lease: str, start: Any
    ) -> Iterable[bytes]:
        """Write a key, unless its version differs from the expected one or its lease is gone."""
        data = _read_body(environ)
        if len(data) > VALUE_LIMIT:
            return _send_answer(start, 413, b"too large")
        with self._lock:
            self._drop_expired_leases()
            current = self._values.get(key, (b"", 0, ""))[1]
            if lease and lease not in self._leases:
                return _send_answer(start, 400, b"no such lease")
            if expected is not None and int(expected) != current:
                return _send_answer(start, 409, b"", version=current)
            self._version += 1
            version = self._version
            self._values[key] = (data, version, lease)
            self._lock.notify_all()
            is_lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= is_lost
        if is_lost:
            raise cut_connection(environ, "answer lost on demand")
        return _send_answer(start, 200, b"", version=version)

    def _serve_watch(self, key: str, after: int, timeout_s: float, start: Any) -> Iterable[bytes]:
        """Answer as soon as a key has a version newer than ``after``, or 204 at the time-out."""
        ends = time.monotonic() + timeout_s
        with self._lock:
            while not self.faults.down:
                value = self._values.get(key)
                if value is not None and value[1] > after:
                    return _send_answer(start, 200, value[0], version=value[1])
                rest_s = ends - time.monotonic()
                if rest_s <= 0:
                    return _send_answer(start, 204, b"")
                self._lock.wait(min(rest_s, 0.2))
        return _send_answer(start, 503, b"down")

    def _serve_lease(
        self, method: str, name: str, query: dict[str, str], start: Any
    ) -> Iterable[bytes]:
        """Create, renew or delete a lease."""
        with self._lock:
            self._drop_expired_leases()
            if not name:
                self._version += 1
                lease, ttl_s = f"lease-{self._version}", float(query["ttl_s"])
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return _send_answer(start, 200, lease.encode())
            lease = name.split("/", maxsplit=1)[0]
            if lease not in self._leases:
                return _send_answer(start, 404, b"lapsed")
            if method == "DELETE":
                self._drop_lease(lease)
            else:
                ttl_s = self._leases[lease][0]
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return _send_answer(start, 200, b"ok")

    def _serve_hosts(self, method: str, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Answer with the list of hosts, after replacing it for ``PUT``."""
        if method == "PUT":
            self.hosts = msgspec.json.decode(_read_body(environ), type=dict[str, bool])
        rows = [[name, leaving] for name, leaving in self.hosts.items()]
        return _send_answer(start, 200, msgspec.json.encode(rows))


def _read_body(environ: dict[str, Any]) -> bytes:
    """Return the request's body."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


_REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


def _send_answer(
    start: Any, status: int, body: bytes, *, version: int | None = None
) -> list[bytes]:
    """Start an answer, and return its body for WSGI."""
    headers = [("Content-Length", str(len(body)))] if status != 204 else []
    if version is not None:
        headers.append(("Platform-Version", str(version)))
    start(f"{status} {_REASONS.get(status, 'Other')}", headers)
    return [body] if body else []
