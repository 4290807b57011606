"""A small deployment: the store, the entry processes, and the record of what was seen."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from kit2.store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"ams-a": "ams", "ehv-a": "ehv"}
BOUNDS: dict[str, Any] = {
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
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


_used_ports: set[int] = set()


class CannotRunError(Exception):
    """The case can't run here."""


BROKEN, COULD_NOT_RUN = 10, 2
"""Exit statuses of a script; an error of its own must not count as a broken rule."""


def end_on_sigterm() -> None:
    """Have SIGTERM end the script as an exception does, so that it ends its processes."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def find_free_ports(ip: str, count: int) -> list[int]:
    """Return consecutive free ports, none of them twice in this process.

    They are below the ports that outgoing connections get.
    """
    for first in range(10000 + os.getpid() % 1000 * 10, 32000, count):
        ports = list(range(first, first + count))
        if _used_ports.intersection(ports):
            continue
        socks: list[socket.socket] = []
        try:
            for port in ports:
                socks.append(socket.create_server((ip, port)))
        except OSError:
            continue
        else:
            _used_ports.update(ports)
            return ports
        finally:
            for sock in socks:
                sock.close()
    raise CannotRunError("no free ports")


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: Store,
        *,
        folder: Path,
        record: Record,
        bounds: dict[str, Any] | None = None,
        memory_mb: int = 300,
    ) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.record = record
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.ports = find_free_ports(ip, 5)
        self.process: subprocess.Popen[bytes] | None = None
        front, ready, directory, first, last = self.ports
        settings = {
            "self": {
                "nodeName": name,
                "role": "entry",
                "nodeClass": "edge",
                "serves": ["edge", "directory"],
                "ip": ip,
                "zone": zone,
                "region": ZONES[zone],
                "lossCounts": False,
                "bootstrap": True,
                "dataDir": None,
                "limits": {
                    "cpuShare": 0.86,
                    "cores": 1,
                    "memoryMb": memory_mb,
                    "maxFds": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
            },
            "network": {
                "listen": {
                    "front": f"{ip}:{front}",
                    "ready": f"{ip}:{ready}",
                    "directory": f"{ip}:{directory}",
                },
                "portRange": [first, last],
                "seeds": [],
                "zones": ZONES,
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeatMs": 1500,
                "platform": {
                    "address": store.address,
                    "form": "kv",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "maxValueBytes": 1048576,
                    "minTtlMs": 1000,
                },
            },
            "terms": {
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 1},
                "bounds": BOUNDS | (bounds or {}),
            },
        }
        self.settings.write_text(json.dumps(settings))

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.ports[0]

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        command = [sys.executable, *role["run"].split()[1:]]
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        deps = {"PYTHONPATH": str(ROOT / "target/deps"), "HALLDOOR_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=kept | deps, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.add(f"entry {self.name} starts: {' '.join(role['run'].split())}")

    async def wait_until_ready(self, limit_s: float = 30.0) -> None:
        """Wait until its readiness answer is 200."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self._is_ready():
                self.record.add(f"entry {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"entry {self.name} is not ready: {self.log.read_text()[-2000:]}")

    async def _is_ready(self) -> bool:
        """Ask for the readiness."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.add(f"entry {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def wait_until_ended(self, limit_s: float) -> bool:
        """Wait until the process has ended."""
        assert self.process is not None
        until = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            return False
        self.record.add(f"entry {self.name} has ended with status {self.process.returncode}")
        return True

    def kill(self) -> None:
        """End the process in any case."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def encode_config(
    version: int, routes: dict[str, dict[str, Any]], services: list[str], **more: Any
) -> bytes:
    """Encode a configuration as operators write it."""
    service = {
        "healthPath": "/health",
        "maxConns": 390,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 9.0,
    }
    resources = [
        {"resourceKind": "routes", "metadata": {"name": n}, "spec": s} for n, s in routes.items()
    ]
    resources += [
        {"resourceKind": "services", "metadata": {"name": s}, "spec": service} for s in services
    ]
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": LIMITS | more})
    return json.dumps({"version": version, "resources": resources}).encode()


def encode_endpoint(
    service: str, address: tuple[str, int], zone: str, *, slots: int, sequence: int, born: int
) -> bytes:
    """Encode an endpoint's entry in the store."""
    return json.dumps(
        {
            "address": f"{address[0]}:{address[1]}",
            "born": born,
            "info": {"service": service, "zone": zone, "version": "v1", "slots": slots},
            "status": {"state": "ready", "sequence": sequence, "coldLeftMs": 0},
        }
    ).encode()


def run_case(
    play: Callable[[Path, Record], Coroutine[Any, Any, bool]], here: Path, *, has_trouble: bool
) -> int:
    """Play a case in a temporary folder, write its record, and return the exit status."""
    end_on_sigterm()
    record = Record(here / "record.txt")
    record.add(f"TROUBLE={int(has_trouble)}")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            is_broken = asyncio.run(play(Path(folder), record))
        record.add("the rule was broken" if is_broken else "the rule held")
        status = BROKEN if is_broken else 0
    except Exception as exc:
        record.add(f"could not run: {exc!r}")
    finally:
        record.write()
    return status
