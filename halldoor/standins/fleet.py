"""Run a whole installation as separate processes, for the demo, tests and benchmarks."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
import urllib3
import yaml

from halldoor.core.steering.configuration import Configuration
from halldoor.keyvalue.client import HttpPlatform
from halldoor.keyvalue.store import Change, ConfigurationStore
from halldoor.standins.relay import Relays
from halldoor.standins.sample import IP, find_ports

PLATFORM = "127.0.0.1"
"""Address that stands for the platform in cuts."""
LOG_SHOWN = 2_000
"""Number of characters from the end of a process's log that an error shows."""
DECISION_KEY = "fleet-decision-key-0123"
TOKEN = "fleet-operator-token"


def wait_until(condition: Callable[[], bool], *, what: str, limit_s: float = 20.0) -> float:
    """Wait until a condition holds, and return the seconds it took.

    Raises
    ------
    TimeoutError
        The condition did not hold in time; the message names it by ``what``.
    """
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        if condition():
            return time.monotonic() - started
        time.sleep(0.02)
    raise TimeoutError(f"{what}: not within {limit_s} s")


class Fleet:
    """Processes of one installation.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(num_pools=200, maxsize=16, retries=False, timeout=15.0)
        self.platform_port = find_ports(1)[0]
        self.relayed_platform_port = 0
        self.admin_port = 0
        self.settings: dict[str, Path] = {}
        self.relays: Relays | None = None
        # Pairs of address prefixes cut off from each other, such as 127.0.1. and 127.0.2.
        self.cuts: set[tuple[str, str]] = set()
        self._relay_settings: dict[str, dict[str, Any]] = {}
        self.configuration: dict[str, Any] = {}

    @classmethod
    @contextlib.contextmanager
    def open(cls) -> Iterator[Fleet]:
        """Create a fleet in a temporary folder, and stop all its processes at the end."""
        with tempfile.TemporaryDirectory(prefix="halldoor-") as folder:
            fleet = cls(Path(folder))
            try:
                yield fleet
            finally:
                fleet.stop_all()

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a program of `halldoor.cli`; its output goes to ``NAME.log``."""
        with (self.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", f"halldoor.cli.{module}", *arguments],
                stdout=out,
                stderr=out,
            )

    def start_platform(self) -> None:
        """Start the stand-in for the platform, and wait until it answers."""
        self.spawn("platform", "standin", "platform", "--port", str(self.platform_port), "--ip", IP)
        wait_until(self._is_platform_ready, what="platform")

    def _is_platform_ready(self) -> bool:
        """Check whether the stand-in answers; its port is open before it serves requests."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"{self.platform_url}/stats"
            return urllib3.request("GET", url, retries=False, timeout=1.0).status == 200
        return False

    def start_targets(self, name: str, ports: list[int], *options: str) -> None:
        """Start stand-ins for targets in one process, and wait until their ports are open."""
        texts = [str(p) for p in ports]
        self.spawn(name, "standin", "target", "--ip", IP, "--ports", *texts, *options)
        for port in ports:
            wait_until(lambda port=port: self.can_connect(port), what="target")  # type: ignore[misc]

    def start_entry(self, name: str, **changes: object) -> None:
        """Start an entry of the configuration, with ``changes`` to its settings."""
        hall, host = next(
            (h["name"], e)
            for h in self.configuration["halls"]
            for e in h["entries"]
            if e["name"] == name
        )
        peers = [
            e["wire"]
            for h in self.configuration["halls"]
            for e in h["entries"]
            if e["name"] != name
        ]
        settings = {
            "name": name,
            "hall": hall,
            "http": host["http"],
            "wire": host["wire"],
            "platform": self.platform_url,
            "decision_key": DECISION_KEY,
            "peers": peers,
            "strict_invariants": True,
            "rest_at_start": False,
            "log_format": "console",
            **self._relay_settings.get(name, {}),
        } | changes
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.settings[name] = path
        self.restart_entry(name)

    def restart_entry(self, name: str) -> None:
        """Start an entry with its last settings."""
        self.spawn(name, "entry", str(self.settings[name]))

    def wait_ready(self, *names: str, revision: int = 1, limit_s: float = 20.0) -> None:
        """Wait until entries have applied a revision.

        Raises
        ------
        TimeoutError
            Says whether the process still runs, and shows the end of its log.
        """
        for name in names:
            try:
                wait_until(
                    lambda name=name: self.get_revision(name) >= revision,  # type: ignore[misc]
                    what=f"{name} at revision {revision}",
                    limit_s=limit_s,
                )
            except TimeoutError as exc:
                raise TimeoutError(f"{exc}; {self._describe_process(name)}") from exc

    def _describe_process(self, name: str) -> str:
        """Describe a process by its exit code and the end of its log."""
        code = self.processes[name].poll()
        state = "it runs" if code is None else f"it exited with {code}"
        log = (self.folder / f"{name}.log").read_text(errors="replace")
        return f"{state}; its log ends with:\n{log[-LOG_SHOWN:]}"

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, and wait for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def stop(self, name: str, *, limit_s: float = 30.0) -> float:
        """Stop a process gracefully with SIGTERM, and return the seconds it took."""
        started = time.monotonic()
        self.processes[name].terminate()
        self.processes[name].wait(limit_s)
        return time.monotonic() - started

    def stop_all(self) -> None:
        """Kill all processes, and stop the relays."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.http.clear()
        if self.relays is not None:
            self.relays.stop()

    def use_relays(self, configuration: dict[str, Any]) -> None:
        """Place a relay in front of every entry's wire port and of the platform.

        Each entry gets its own source address, 127.0.HALL.NUMBER, by which cuts identify the
        caller.  Call this before starting any process.
        """
        self.relays = Relays()
        relayed_ports = find_ports(1 + sum(len(h["entries"]) for h in configuration["halls"]))
        for i, hall in enumerate(configuration["halls"], 1):
            for j, entry in enumerate(hall["entries"], 1):
                port = relayed_ports.pop()
                self._relay_settings[entry["name"]] = {
                    "wire": {"ip": IP, "port": port},
                    "source_ip": f"127.0.{i}.{j}",
                }
                self._add_relay(entry["wire"]["port"], port, f"127.0.{i}.{j}")
        self.relayed_platform_port = relayed_ports.pop()
        self._add_relay(self.relayed_platform_port, self.platform_port, PLATFORM)

    def _add_relay(self, port: int, to: int, name: str) -> None:
        """Add a relay in front of a process; ``name`` is its address in cuts."""
        assert self.relays is not None

        def is_cut(source: str) -> bool:
            return any(
                (source.startswith(a) and name.startswith(b))
                or (source.startswith(b) and name.startswith(a))
                for a, b in list(self.cuts)
            )

        self.relays.add((IP, port), (IP, to), is_cut)

    def cut(self, first: str, second: str) -> None:
        """Cut the traffic between two address prefixes; ``127.0.0.`` is the platform's."""
        self.cuts.add((first, second))

    def end_cuts(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def read_log(self, name: str) -> str:
        """Return a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def start_admin(self) -> None:
        """Start the administration API, with `TOKEN` as its first administrator."""
        self.admin_port = find_ports(1)[0]
        settings = {
            "http": {"ip": IP, "port": self.admin_port},
            "platform": self.platform_url,
            "decision_key": DECISION_KEY,
            "bootstrap_token_sha256": sha256(TOKEN.encode()).hexdigest(),
            "log_format": "console",
        }
        path = self.folder / "admin.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.spawn("admin", "admin", str(path))
        wait_until(lambda: self.can_connect(self.admin_port), what="admin")

    def run_cli(self, *arguments: str, token: str = TOKEN) -> subprocess.CompletedProcess[str]:
        """Run the operator's command line."""
        environment = {
            **os.environ,
            "HALLDOOR_API": f"http://{IP}:{self.admin_port}",
            "HALLDOOR_TOKEN": token,
        }
        return subprocess.run(
            [sys.executable, "-m", "halldoor.cli.operator", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def write_configuration(self, configuration: dict[str, Any]) -> Path:
        """Write a configuration to a file for the command line, and return its path."""
        self.configuration = configuration
        path = self.folder / "configuration.yaml"
        path.write_text(yaml.safe_dump(configuration))
        return path

    @property
    def platform_url(self) -> str:
        """URL of the platform's stand-in, through its relay if relays are used."""
        port = self.relayed_platform_port if self.relays is not None else self.platform_port
        return f"http://{IP}:{port}"

    def can_connect(self, port: int) -> bool:
        """Check whether a process listens on a port."""
        with contextlib.suppress(OSError), socket.create_connection((IP, port), 0.2):
            return True
        return False

    def find_port(self, name: str) -> int:
        """Return the HTTP port of an entry or a target."""
        for hall in self.configuration["halls"]:
            for entry in hall["entries"]:
                if entry["name"] == name:
                    return int(entry["http"]["port"])
        target = next(t for t in self.configuration["targets"] if t["name"] == name)
        return int(target["address"]["port"])

    def call(
        self,
        name: str,
        path: str,
        *,
        method: str = "GET",
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send an HTTP request to an entry or a target."""
        url = f"http://{IP}:{self.find_port(name)}{path}"
        return self.http.request(method, url, body=body, headers=headers, redirect=False)

    def get_json(self, name: str, path: str) -> Any:
        """Get JSON from an entry or a target."""
        return msgspec.json.decode(self.call(name, path).data)

    def get_revision(self, name: str) -> int:
        """Return the revision that an entry has applied; 0 if it does not answer."""
        try:
            return int(self.get_json(name, "/v1/status")["revision"])
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
            return 0

    def get_ticket(self, name: str, operation_id: str = "") -> str:
        """Get a ticket from an entry."""
        query = f"?operation_id={operation_id}" if operation_id else ""
        response = self.call(name, f"/v1/tickets{query}", method="POST")
        return str(msgspec.json.decode(response.data).get("ticket", ""))

    def control(self, target: str, **behaviour: object) -> None:
        """Change the behaviour of a target's stand-in; see `Behaviour`."""
        self.call(target, "/control", method="POST", body=msgspec.json.encode(behaviour))

    def set_faults(self, **faults: object) -> None:
        """Set the faults of the platform's stand-in; faults that are not given end."""
        self.http.request(
            "POST", f"http://{IP}:{self.platform_port}/faults", body=msgspec.json.encode(faults)
        )

    def apply(self, configuration: dict[str, Any], *, change_id: str = "first") -> int:
        """Commit a configuration without the administration API."""
        self.configuration = configuration
        wanted = Configuration.from_data(configuration)
        store = ConfigurationStore(HttpPlatform(self.platform_url))
        return store.commit(lambda _: wanted, Change(change_id, "fleet", "apply")).revision
