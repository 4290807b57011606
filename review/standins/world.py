"""Stand-ins for the platform's store, endpoints and clients, and processes of the deploy file.

They follow PROTOCOL.md and DEPLOY.md.  Everything listens on loopback addresses at free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HISTORY_S = 20.0
PAGE_ITEMS = 500
SLOTS = 6
Headers = dict[str, str]
ZONES = {"kam-north": "kamloops", "kam-south": "kamloops", "kel-east": "kelowna"}
"""Zones of the small deployment, with their regions."""


def pick_ip(offset: int) -> str:
    """Return a loopback address of this run's own, so that parallel runs share no port."""
    high, low = divmod(os.getpid() % (1 << 14), 1 << 7)
    return f"127.{96 + (high & 31)}.{128 + low - 64 if low >= 64 else low}.{2 + offset}"


def find_port(ip: str, count: int = 1) -> int:
    """Return the first of some consecutive free ports."""
    while True:
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            first = stack.enter_context(socket.create_server((ip, 0))).getsockname()[1]
            for port in range(first + 1, first + count):
                stack.enter_context(socket.create_server((ip, port)))
            return int(first)


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], list[tuple[str, str]]] | None:
    """Read a start line and header fields; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [line.partition(":") for line in lines[1:] if line]
    return lines[0].split(" ", 2), [(n.strip().lower(), v.strip()) for n, _, v in fields]


async def read_body(reader: asyncio.StreamReader, fields: Headers) -> bytes:
    """Read a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def build_answer(status: int, body: bytes, fields: Headers | None = None) -> bytes:
    """Build the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Item:
    """A key's value as it stands, with its revisions and lease."""

    def __init__(self, key: str, value: bytes, revision: int, created: int, lease: int) -> None:
        self.key, self.value = key, value
        self.revision, self.created, self.lease = revision, created, lease

    def encode(self) -> dict[str, Any]:
        """Return the item as the store sends it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "leaseId": self.lease,
        }


class Store:
    """The platform's metadata store: one counter of revisions, leases, watches, a short history."""

    def __init__(self, ip: str) -> None:
        self.ip, self.port = ip, 0
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[tuple[float, int, str, dict[str, Any]]] = []
        self.dropped = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.ensure_future(self._expire())

    def stop(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key, as the operator or an endpoint does for JSON; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = self.items[key] = Item(key, data, self.revision, created, lease)
        self._record(key, item.encode())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(key, {"key": key, "revision": self.revision, "compacted": True})

    def _record(self, key: str, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self.history.append((now, self.revision, key, event))
        while self.history[0][0] < now - HISTORY_S:
            self.dropped = self.history.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (_, until) in self.leases.items() if until <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return self.leases.pop(lease, None) is not None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                (method, target, _), fields = head
                body = await read_body(reader, dict(fields))
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                status, answer = await self._answer(method, parts.path, query, body)
                kind = {"Content-Type": "application/json"}
                writer.write(build_answer(status, json.dumps(answer).encode(), kind))
        writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item.encode()) if item else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.items[k].encode() for k in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": rows, "hasMore": more, "timestamp": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        data = json.loads(body or b"{}")
        if path == "/kv-txn":
            return self._transact(data)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl_s = max(1.0, data["ttlMs"] / 1000)
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"leaseId": self.next_lease, "ttlMs": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2] or 0)
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"leaseId": lease, "ttlMs": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/"):
            return (200, {}) if self._end_lease(lease) else (404, {})
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.dropped:
                return 410, {}
            rows = [e for _, r, k, e in self.history if r > after and k.startswith(prefix)]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"events": rows, "timestamp": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = data.get("expectedRev") or []
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row.get("revision", 0):
                held = [self.items[r["key"]].encode() for r in expected if r["key"] in self.items]
                return 412, {"items": held}
        writes = data.get("writes") or []
        if any(w.get("leaseId") and w["leaseId"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("leaseId") or 0)
        for key in data.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}


Work = Callable[["Endpoint", "Request", asyncio.StreamWriter], Awaitable[None]]


class Request:
    """A request as an endpoint read it."""

    def __init__(self, method: str, target: str, fields: Headers, body: bytes) -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.id = fields.get("x-attempt-id", "")
        self.at = time.monotonic()


class Endpoint:
    """An endpoint of a service; `work` runs a request and writes its answer."""

    def __init__(self, store: Store, ip: str, name: str, service: str, zone: str) -> None:
        self.store, self.ip, self.port = store, ip, 0
        self.name, self.service, self.zone = name, service, zone
        self.runs: list[Request] = []
        self.work: Work = answer_at_once
        self.running = 0
        self.sequence = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and keep the own record in the store."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.ensure_future(self._keep_record())

    def stop(self) -> None:
        """Stop listening and writing the record."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()

    async def _keep_record(self) -> None:
        key = f"servers/{self.name}"
        while True:
            self.sequence += 1
            if key not in self.store.items:
                info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": SLOTS}
                status = {"state": "ready", "sequence": self.sequence, "coldLeftMs": 0}
                record = {"address": f"{self.ip}:{self.port}", "info": info, "status": status}
                self.store.put(key, record)
            await asyncio.sleep(1.5)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                (method, target, _), rows = head
                fields = dict(rows)
                request = Request(method, target, fields, await read_body(reader, fields))
                if fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(build_answer(421, b"", self.sign(request, is_run=False)))
                elif target == "/health":
                    writer.write(build_answer(200, b"", {"X-Instance-Id": self.name}))
                elif self.running >= SLOTS:
                    refusal = self.sign(request, is_run=False) | {"X-Not-Executed": "1"}
                    writer.write(build_answer(503, b"", refusal))
                else:
                    self.runs.append(request)
                    self.running += 1
                    try:
                        await self.work(self, request, writer)
                    finally:
                        self.running -= 1
                await writer.drain()
                if writer.is_closing():
                    break
        writer.close()

    def sign(self, request: Request, *, is_run: bool = True) -> Headers:
        """Return the header fields of an answer."""
        fields = {"X-Attempt-Id": request.id}
        fields["X-Backend-Load"] = f"{self.running},0,{SLOTS}"
        return fields | (
            {"X-Response-Signature": f"sig.{self.name}.{request.id}"} if is_run else {}
        )


async def answer_at_once(
    endpoint: Endpoint, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer a request with a short body."""
    writer.write(build_answer(200, f"done {request.id}".encode(), endpoint.sign(request)))


class Entry:
    """A process of the deploy file's role, with its settings file."""

    def __init__(self, folder: Path, store: Store, name: str, zone: str, ip: str) -> None:
        self.name, self.zone, self.ip, self.folder = name, zone, ip, folder
        self.store = store
        self.zones = ZONES
        self.front, self.ready, self.directory = find_port(ip), find_port(ip), find_port(ip)
        self.first = find_port(ip, 16)
        self.file = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings and start the process by the deploy file's command."""
        listen = {
            "front": f"{self.ip}:{self.front}",
            "ready": f"{self.ip}:{self.ready}",
            "directory": f"{self.ip}:{self.directory}",
            "control": f"{self.ip}:{self.first + 15}",
        }
        limits = {"cpuShare": 0.989, "cores": 1, "memoryMb": 413, "maxFds": 9567, "linkMbps": 10}
        bounds = {
            **{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 6},
            **{"drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000},
            **{"rollbackSlackMs": 250, "maxStretchMs": 5000, "retryRatio": 0.2},
            **{"retryWindowS": 10, "retrySlack": 216, "coldExcess": 1.5, "coldSlack": 8},
            **{"evacuateMs": 5000, "recoveryS": 15, "ttl_max_s": 5, "maxShift": 0.15},
        }
        store = {"address": f"{self.ip_of_store}:{self.store.port}", "form": "kv"}
        store |= {"writesPerS": 1200, "readsPerS": 6000, "historyS": 20}
        store |= {"maxValueBytes": 1048576, "minTtlMs": 1000}
        settings = {
            "self": {
                **{"nodeName": self.name, "role": "entry", "nodeClass": "edge", "ip": self.ip},
                **{"serves": ["edge", "directory"], "zone": self.zone, "dataDir": None},
                **{"region": self.zones[self.zone], "bootstrap": True, "limits": limits},
            },
            "network": {
                **{"listen": listen, "portRange": [self.first, self.first + 14]},
                **{"seeds": [], "zones": self.zones},
            },
            "platform": {"discovery": "platform", "heartbeatMs": 1500, "platform": store},
            "terms": {"contracts": ["base", "drain", "config"], "bounds": bounds},
        }
        self.file.write_text(json.dumps(settings))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        paths = {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "),
                cwd=ROOT,
                env=kept | paths | {"HALLDOOR_NODE_FILE": str(self.file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def ip_of_store(self) -> str:
        """IP address of the store."""
        return self.store.ip

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def find_end(self, since: float) -> str:
        """Wait until the process ends, and return when, in seconds since a moment."""
        assert self.process is not None
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return f"ended {time.monotonic() - since:.3f} s, status {self.process.returncode}"

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the process is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and head[0][1] == "200"
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()

    async def resolve(self, name: str, zone: str) -> list[str]:
        """Look up the addresses for a client."""
        reader, writer = await asyncio.open_connection(self.ip, self.directory)
        try:
            path = f"/resolve?name={name}&region={self.zones[zone]}&zone={zone}"
            writer.write(f"GET {path} HTTP/1.1\r\nHost: directory\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1.0)
            assert head is not None
            body = await read_body(reader, dict(head[1]))
            return list(json.loads(body)["addresses"]) if head[0][1] == "200" else []
        finally:
            writer.close()


class World:
    """A small deployment: the store, endpoints and entries, all ended by `stop`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store(pick_ip(0))
        self.endpoints: list[Endpoint] = []
        self.entries: list[Entry] = []
        self.version = 0

    def configure(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write a configuration as the operator does; routes are given by name and spec."""
        self.version += 3
        service = {"healthPath": "/health", "maxConns": 390, "coldStartS": 3.0, "coldPerS": 9.0}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20}
        limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        rows = [
            {"resourceKind": "routes", "metadata": {"name": r["name"]}, "spec": r["spec"]}
            for r in routes
        ]
        rows += [
            {"resourceKind": "services", "metadata": {"name": s}, "spec": service} for s in services
        ]
        rows.append({"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": limits})
        self.store.put("op/config", {"version": self.version, "resources": rows})

    async def add_endpoints(self, service: str, zones: list[str]) -> None:
        """Start endpoints of a service, one for each zone named."""
        for zone in zones:
            count = len(self.endpoints)
            ip = pick_ip(20 + count)
            endpoint = Endpoint(self.store, ip, f"i-{0x7F3A0000 + 977 * count:x}", service, zone)
            self.endpoints.append(endpoint)
            await endpoint.start()

    async def add_entries(self, zones: list[str]) -> bool:
        """Start entries and wait until all are ready; False if they aren't in 20 s."""
        for zone in zones:
            count = len(self.entries)
            name = f"edge-{zone}-{count + 1}"
            entry = Entry(self.folder, self.store, name, zone, pick_ip(1 + count))
            self.entries.append(entry)
            entry.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await entry.is_ready() for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            entry.kill()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()


def build_route(name: str, host: str, service: str, kind: str, **spec: Any) -> dict[str, Any]:
    """Build a route of the configuration."""
    plain = {"hostname": host, "pathPrefix": "/", "service": service, "kind": kind}
    plain |= {"timeoutMs": 6000, "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2}
    return {"name": name, "spec": plain | spec}


def run_case(main: Callable[[World, list[str], bool], Awaitable[int]], case: Path) -> int:
    """Run a case; write its record; return 1 if the rule was broken, 0 if not, else 2."""
    lines: list[str] = []
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="halldoor-review-") as folder:

        async def play() -> int:
            # Connections that are still open at the end are cancelled without a word.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            # If the script itself is stopped, it still ends what it started.
            this = asyncio.current_task()
            assert this is not None
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
            world = World(Path(folder))
            try:
                await world.store.start()
                async with asyncio.timeout(100):
                    return await main(world, lines, is_troubled)
            except (Exception, asyncio.CancelledError) as exc:
                lines.append(f"the case couldn't run: {exc!r}")
                return 2
            finally:
                world.stop()

        code = asyncio.run(play())
        if os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                lines.append(f"--- {log.name}\n{log.read_text()}")
    (case / "record.txt").write_text("\n".join([*lines, f"exit {code}", ""]))
    return code
