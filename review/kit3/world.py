"""A small deployment on loopback: a store, endpoints, entries of the project, and clients.

The store, the endpoints and the entries are processes of their own, and the clients run here.  The
entries are started with the command of ``deploy/system.toml`` and a settings file as DEPLOY.md
shows it.  All of them are ended at the end.  What was sent, answered and run goes to `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from endpoint import put

KIT = Path(__file__).resolve().parent
ROOT = KIT.parent.parent
ZONES = {"ams-a": "ams", "ams-b": "ams"}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 64,
    "coldExcess": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "ttl_max_s": 5,
    "maxShift": 0.15,
}
LIMITS = {
    "cpuShare": 0.86,
    "cores": 1,
    "memoryMb": 300,
    "maxFds": 4100,
    "linkMbps": 1000.0,
    "diskMb": 0,
}


LONGEST_S = 110.0
COULD_NOT_RUN = 2
_GIVEN: set[int] = set()


class Result(NamedTuple):
    """One try of a client.

    Attributes
    ----------
    sent_at, ended_at : float
        When its last byte was sent, and when its answer was whole or its connection ended.
    status : int
        Status of the answer; 0 where none began.
    is_whole : bool
        Whether the whole answer arrived.
    """

    id: str
    kind: str
    entry: str
    sent_at: float
    begun_at: float | None
    ended_at: float
    status: int
    is_whole: bool
    note: str = ""


def is_free(port: int) -> bool:
    """Check whether nobody listens at a port of the loopback address."""
    with contextlib.suppress(OSError):
        socket.create_server(("127.0.0.1", port)).close()
        return True
    return False


def find_ports(count: int, *, in_a_row: int = 1) -> list[int]:
    """Return the first ports of free rows, below those that outgoing connections get."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        row = range(port, port + in_a_row)
        if not _GIVEN.intersection(row) and all(map(is_free, row)):
            found.append(port)
            _GIVEN.update(row)
    return found


class World:
    """The processes of one run, and the record of it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.temporary = Path(tempfile.mkdtemp())
        self.record = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.entries: dict[str, dict[str, int]] = {}
        self.store = f"127.0.0.1:{find_ports(1)[0]}"
        self.endpoint_log = self.temporary / "endpoints.jsonl"
        self.version = 0

    def write(self, text: str) -> None:
        """Write a line into the record, with the time since the start."""
        self.record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")

    def start(self, command: list[str], name: str, **env: str) -> subprocess.Popen[bytes]:
        """Start a process in a session of its own, with its output in the temporary folder."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        kept["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.temporary / f"{name}.log").open("ab") as out:
            process = subprocess.Popen(
                command, cwd=ROOT, env=kept | env, stdout=out, stderr=out, start_new_session=True
            )
        self.processes.append(process)
        self.write(f"started {name}")
        return process

    def start_store(self) -> None:
        """Start the store."""
        self.start([sys.executable, str(KIT / "store.py"), self.store], "store")

    def start_endpoints(self, rows: list[dict[str, Any]], name: str = "endpoints") -> None:
        """Start the endpoints, and give each an address."""
        for row, port in zip(rows, find_ports(len(rows)), strict=True):
            row.setdefault("address", f"127.0.0.1:{port}")
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(rows))
        program = str(KIT / "endpoint.py")
        log = str(self.endpoint_log)
        self.start([sys.executable, program, str(path), self.store, log], name)

    def start_entry(self, name: str, zone: str) -> subprocess.Popen[bytes]:
        """Start an entry with the command of the deploy file."""
        if name not in self.entries:
            front, ready, directory = find_ports(3)
            self.entries[name] = {
                "front": front,
                "ready": ready,
                "directory": directory,
                "pair": find_ports(1, in_a_row=2)[0],
            }
        ports = self.entries[name]
        listen = {k: f"127.0.0.1:{ports[k]}" for k in ("front", "ready", "directory")}
        settings = {
            "self": {
                "nodeName": name,
                "role": "entry",
                "nodeClass": "edge",
                "serves": ["edge", "directory"],
                "ip": "127.0.0.1",
                "zone": zone,
                "region": ZONES[zone],
                "limits": LIMITS,
                "bootstrap": True,
                "dataDir": None,
            },
            "network": {
                "listen": listen,
                "portRange": [ports["pair"], ports["pair"] + 1],
                "seeds": [],
                "zones": ZONES,
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeatMs": 1500,
                "platform": {
                    "address": self.store,
                    "form": "kv",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "maxValueBytes": 1048576,
                    "minTtlMs": 1000,
                },
            },
            "terms": {"bounds": BOUNDS},
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        return self.start(command, name, HALLDOOR_NODE_FILE=str(path))

    async def write_config(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write a new version of the configuration, as the operator."""
        self.version += 3
        resources = [
            {"resourceKind": "routes", "metadata": {"name": r["name"]}, "spec": r} for r in routes
        ]
        spec = {"healthPath": "/health", "maxConns": 390, "coldStartS": 3.0, "coldPerS": 9.0}
        resources += [
            {"resourceKind": "services", "metadata": {"name": s}, "spec": spec} for s in services
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 8388608,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 10000,
        }
        resources.append({"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": limits})
        value = json.dumps({"version": self.version, "resources": resources}).encode()
        await put(self.store, "op%2Fconfig", value)
        self.write(f"configuration {self.version} acknowledged")

    @property
    def flag(self) -> Path:
        """File that is there during a spell of trouble."""
        return self.temporary / "trouble"

    async def make_spells(self, begins_s: tuple[float, ...], length_s: float) -> None:
        """Set the flag for some spells, whose begins count from now."""
        began_at = time.monotonic()
        for begin_s in begins_s:
            await asyncio.sleep(began_at + begin_s - time.monotonic())
            self.flag.touch()
            self.write("a spell of trouble begins")
            await asyncio.sleep(length_s)
            self.flag.unlink()
            self.write("a spell of trouble ends")

    async def wait_for_store(self) -> None:
        """Wait until the store takes connections."""
        ip, _, port = self.store.rpartition(":")
        await wait_for_port(ip, int(port))

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all entries answer the readiness check with 200."""
        until = time.monotonic() + limit_s
        for ports in self.entries.values():
            while await ask_ready(ports["ready"]) != 200:
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def read_endpoint_log(self) -> list[dict[str, Any]]:
        """Return the lines that the endpoints wrote."""
        if not self.endpoint_log.exists():
            return []
        return [json.loads(line) for line in self.endpoint_log.read_text().splitlines()]

    def close(self) -> None:
        """End all processes that are left, and put the log of the endpoints into the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        for line in self.read_endpoint_log():
            at = line.pop("at") - self.began_at
            self.record.write(f"{at:8.3f} endpoint {json.dumps(line)}\n")
        self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


async def wait_for_port(ip: str, port: int) -> None:
    """Wait until a port takes connections."""
    for _ in range(200):
        try:
            _, writer = await asyncio.open_connection(ip, port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


async def ask_ready(port: int) -> int:
    """Return the status of the readiness check; 0 without an answer within a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


async def ask(
    world: World,
    entry: str,
    request: str,
    *,
    host: str,
    path: str,
    kind: str,
    deadline_ms: int,
    method: str = "GET",
    body: bytes = b"",
    wait_s: float = 20.0,
) -> Result:
    """Send one request over a new connection, and read its answer.

    The client waits for `wait_s` seconds, so that it is seen when the answer comes at last.
    """
    begun_at: float | None = None
    status, note, is_whole = 0, "", False
    sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            port = world.entries[entry]["front"]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {request}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n".encode()
                + body
            )
            await writer.drain()
            sent_at = time.monotonic()
            line = await reader.readline()
            if line:
                begun_at = time.monotonic()
                status = int(line.split()[1])
                is_whole = await read_rest(reader)
            else:
                note = "closed"
    except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
        note = type(exc).__name__
    except TimeoutError:
        note = "gave up"
    finally:
        if writer is not None:
            writer.close()
    result = Result(
        request, kind, entry, sent_at, begun_at, time.monotonic(), status, is_whole, note
    )
    took_ms = round((result.ended_at - sent_at) * 1000)
    world.write(
        f"client {request} {kind} at {entry} sent {sent_at - world.began_at:.3f} took {took_ms} ms:"
        f" status {status} whole {is_whole} {note}"
    )
    return result


async def read_rest(reader: asyncio.StreamReader) -> bool:
    """Read the rest of an answer; return whether it was whole."""
    length, is_chunked = 0, False
    while (line := await reader.readline()).strip():
        key, _, value = line.decode("latin-1").partition(":")
        if key.lower() == "content-length":
            length = int(value)
        if key.lower() == "transfer-encoding":
            is_chunked = "chunked" in value
    if not is_chunked:
        await reader.readexactly(length)
        return True
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        await reader.readexactly(size + 2)
        if not size:
            return True


def run_case(folder: Path, play: Callable[[World], Awaitable[int]]) -> int:
    """Play a case in a world of its own; return the exit status, 2 if it couldn't run.

    The processes are ended in any case, also after SIGTERM, an error or `LONGEST_S`.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(folder)
        try:
            async with asyncio.timeout(LONGEST_S):
                return await play(world)
        finally:
            world.close()

    try:
        return asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        return COULD_NOT_RUN
