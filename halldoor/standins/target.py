"""Stand-in for a target, with slots, latency, cold start, faults and wrong load reports."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from hashlib import sha256
from typing import Any
from urllib.parse import parse_qs

import msgspec

PIECE_BYTES = 65_536


class Behaviour(msgspec.Struct):
    """Latency, slots and faults of the target, set by ``POST /control``.

    Attributes
    ----------
    latency_s : float
        Time that a request takes.
    slots : int
        Most requests that run at once; see ``ignore_limit``.
    leaving, healthy : bool
        State that the health endpoint reports; a leaving target sheds new requests.
    cold_s : float
        Time after start in which requests take four times as long.
    shed_share : float
        Share of requests shed although slots are free.
    fail_after_run : int
        Number of next requests that run and are then answered 503 without the shed marker.
    cut_after_run : int
        Number of next requests that run and whose connection is then cut.
    truncate : int
        Number of next answers whose connection is cut in the middle.
    stall : int
        Number of next answers that stop in the middle with the connection left open.
    close_idle : bool
        Close each connection when its next request arrives, without reading it.
    report_lag_s : float
        Age of the load that the load endpoint reports.
    report_load : float
        Load to report instead of the true one; below 0 for the true one.
    ignore_cancel : bool
        Keep running a request whose caller disconnected, until it finishes or its deadline passes.
    ignore_limit : bool
        Run and count requests beyond the slots instead of shedding them.
    """

    latency_s: float = 0.01
    slots: int = 6
    leaving: bool = False
    healthy: bool = True
    cold_s: float = 0.0
    shed_share: float = 0.0
    fail_after_run: int = 0
    cut_after_run: int = 0
    truncate: int = 0
    stall: int = 0
    close_idle: bool = False
    report_lag_s: float = 0.0
    report_load: float = -1.0
    ignore_cancel: bool = False
    ignore_limit: bool = True


class TargetStandin:
    """The state and the WSGI application of the stand-in.

    Parameters
    ----------
    behaviour : Behaviour
        Behaviour at the start.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self._in_flight = 0
        # The sockets of the requests in flight; None where the server passed none.
        self._callers: list[Any] = []
        self._shed_credit = 0.0
        self.greatest = 0
        self.runs: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.arrivals_leaving = 0
        self._loads: deque[tuple[float, float]] = deque(maxlen=5_000)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/control":
            return self._control(environ, start_response)
        if path == "/health":
            return _send_json(start_response, 200, self._get_health())
        if path == "/load":
            return _send_json(start_response, 200, {"load": self._get_reported_load()})
        if path == "/stats":
            return _send_json(start_response, 200, self._get_stats())
        return self._run(environ, start_response)

    def _control(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Change the behaviour fields given in the request's JSON."""
        changes = msgspec.json.decode(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        merged = msgspec.to_builtins(self.behaviour) | changes
        self.behaviour = msgspec.convert(merged, type=Behaviour)
        return _send_json(start, 200, merged)

    def _get_health(self) -> dict[str, Any]:
        """Build the body of the health endpoint's answer."""
        b = self.behaviour
        state = "leaving" if b.leaving else "ok" if b.healthy else "failing"
        age_s = time.monotonic() - self._started
        return {"state": state, "age_s": age_s, "slots": b.slots, "load": self._get_reported_load()}

    def _get_reported_load(self) -> float:
        """Return the load to report: the configured one, or the true one ``report_lag_s`` ago."""
        if self.behaviour.report_load >= 0:
            return self.behaviour.report_load
        reported_at = time.monotonic() - self.behaviour.report_lag_s
        load = 0.0
        for at, value in self._loads:
            if at > reported_at:
                break
            load = value
        return load

    def _get_stats(self) -> dict[str, Any]:
        """Build the counts that tests and soaks check."""
        with self._lock:
            return {
                "in_flight": self._in_flight,
                "greatest": self.greatest,
                "slots": self.behaviour.slots,
                "runs": dict(self.runs),
                "outcomes": dict(self.outcomes),
                "arrivals_leaving": self.arrivals_leaving,
            }

    def _run(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Run one request and answer it, or shed it."""
        if self.behaviour.close_idle:
            raise cut_connection(environ, "closed on demand")
        caller = environ.get("halldoor.socket")
        if not self._reserve_slot(caller):
            return _send_shed(start)
        try:
            size, digest = _digest_body(environ)
            if not self._wait_work_time(environ):
                raise cut_connection(environ, "cancelled or past its deadline")
            operation = environ.get("HTTP_OPERATION_ID", "")
            with self._lock:
                self.runs[operation or "(none)"] += 1
            return self._answer(environ, start, size, digest)
        finally:
            self._release_slot(caller)

    def _reserve_slot(self, caller: Any) -> bool:
        """Reserve a slot; return False if the request is shed."""
        with self._lock:
            b = self.behaviour
            self._shed_credit += b.shed_share
            if self._shed_credit >= 1.0:
                self._shed_credit -= 1.0
                self.outcomes["shed"] += 1
                return False
            if b.leaving:
                self.arrivals_leaving += 1
                self.outcomes["shed"] += 1
                return False
            if self._in_flight >= b.slots and not b.ignore_limit:
                self.outcomes["shed"] += 1
                return False
            self._in_flight += 1
            self._callers.append(caller)
            if self._in_flight > self.greatest:
                self.greatest = max(self.greatest, self._count_awaited())
            self._loads.append((time.monotonic(), self._in_flight / b.slots))
            return True

    def _count_awaited(self) -> int:
        """Count the requests in flight whose callers wait; with ``ignore_cancel``, all.

        A disconnected caller's request is over, though a process that was stalled may not have
        ended it yet.
        """
        if self.behaviour.ignore_cancel:
            return self._in_flight
        return sum(1 for c in self._callers if c is None or not _has_disconnected(c, 0))

    def _release_slot(self, caller: Any) -> None:
        """Release the slot of a finished request."""
        with self._lock:
            self._in_flight -= 1
            self._callers.remove(caller)
            self._loads.append((time.monotonic(), self._in_flight / self.behaviour.slots))

    def _wait_work_time(self, environ: dict[str, Any]) -> bool:
        """Wait for the work time; return False if cancelled or past the deadline."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        b = self.behaviour
        work_s = float(query.get("work_s", [str(b.latency_s)])[0])
        if time.monotonic() - self._started < b.cold_s:
            work_s *= 4
        ends = time.monotonic() + work_s
        deadline = time.monotonic() + float(environ.get("HTTP_HALLDOOR_DEADLINE_MS", 1e9)) / 1000
        sock = environ.get("halldoor.socket") if not b.ignore_cancel else None
        while (rest_s := ends - time.monotonic()) > 0:
            if time.monotonic() >= deadline:
                self.outcomes["deadline"] += 1
                return False
            if sock is not None and _has_disconnected(
                sock, min(rest_s, deadline - time.monotonic(), 0.05)
            ):
                self.outcomes["cancelled"] += 1
                return False
            if sock is None:
                time.sleep(min(rest_s, 0.05))
        return True

    def _answer(
        self, environ: dict[str, Any], start: Any, size: int, digest: str
    ) -> Iterable[bytes]:
        """Answer a request that ran, unless a configured fault hits the answer."""
        with self._lock:
            b = self.behaviour
            has_cut, b.cut_after_run = b.cut_after_run > 0, max(0, b.cut_after_run - 1)
            has_failed, b.fail_after_run = b.fail_after_run > 0, max(0, b.fail_after_run - 1)
            is_cut_short, b.truncate = b.truncate > 0, max(0, b.truncate - 1)
            is_stalled, b.stall = b.stall > 0, max(0, b.stall - 1)
        if has_cut:
            raise cut_connection(environ, "cut after the run on demand")
        if has_failed:
            return _send_json(start, 503, {"error": "failed after running"})
        self.outcomes["answered"] += 1
        query = parse_qs(environ.get("QUERY_STRING", ""))
        length = int(query.get("size", ["0"])[0])
        if length:
            seed = query.get("seed", [""])[0]
            start("200 OK", [("Content-Length", str(length)), ("Answer-For", seed)])
            pieces = _make_body(seed, length // 2 if is_cut_short or is_stalled else length)
            return _cut_after(pieces, environ) if is_cut_short else pieces
        text = {"path": environ["PATH_INFO"], "size": size, "sha256": digest}
        return _send_json(start, 200, text)


def cut_connection(environ: dict[str, Any], why: str) -> ConnectionAbortedError:
    """Cut the caller's connection, and return the error to raise.

    The server's own error answer can then not reach the caller.
    """
    sock = environ.get("halldoor.socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
    return ConnectionAbortedError(why)


def _has_disconnected(sock: Any, wait_s: float) -> bool:
    """Wait up to ``wait_s`` seconds, and return whether the caller closed its connection."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(max(0.0, wait_s) * 1000))


def _digest_body(environ: dict[str, Any]) -> tuple[int, str]:
    """Read the body without storing it; return its size and SHA-256 digest."""
    digest, size = sha256(), 0
    source = environ["wsgi.input"]
    missing = int(environ.get("CONTENT_LENGTH") or -1)
    while missing != 0:
        piece = source.read(PIECE_BYTES if missing < 0 else min(PIECE_BYTES, missing))
        if not piece:
            if missing > 0:
                raise ConnectionAbortedError("body cut short")
            break
        digest.update(piece)
        size += len(piece)
        missing -= len(piece) if missing > 0 else 0
    return size, digest.hexdigest()


def make_bytes(seed: str, length: int) -> bytes:
    """Build the answer body of a length that a seed determines."""
    block = sha256(seed.encode()).digest()
    return (block * (length // len(block) + 1))[:length]


def _make_body(seed: str, length: int) -> Iterator[bytes]:
    """Yield the body that a seed determines, in pieces."""
    block = make_bytes(seed, min(length, PIECE_BYTES))
    while length > 0:
        yield block[: min(length, PIECE_BYTES)]
        length -= PIECE_BYTES


def _cut_after(pieces: Iterator[bytes], environ: dict[str, Any]) -> Iterator[bytes]:
    """Yield pieces of a body, and then cut the connection."""
    yield from pieces
    raise cut_connection(environ, "cut short on demand")


def _send_json(start: Any, status: int, value: object) -> Iterable[bytes]:
    """Answer with JSON."""
    body = msgspec.json.encode(value)
    start(
        f"{status} {'OK' if status == 200 else 'Unavailable'}",
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]


def _send_shed(start: Any) -> Iterable[bytes]:
    """Answer 503 with the marker which states that the request did not run."""
    start("503 Unavailable", [("Target-Shed", "not-run"), ("Content-Length", "0")])
    return []
