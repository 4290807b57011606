"""Program ``halldoor-standin``: stand-ins for the platform and for targets."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import defopt

from halldoor.core.settings import Address
from halldoor.logs import configure_logs
from halldoor.server import HttpServer
from halldoor.standins.platform import PlatformStandin
from halldoor.standins.target import Behaviour, TargetStandin
from halldoor.startup import StopSignals


def platform(*, port: int, ip: str = "127.0.0.1") -> None:
    """Run a stand-in for the platform.

    Parameters
    ----------
    port : int
        Port to listen on.
    ip : str
        Address to listen on.
    """
    _serve(Address(ip, port), PlatformStandin(), threads=200)


def target(
    *,
    ports: list[int],
    ip: str = "127.0.0.1",
    slots: int = 6,
    latency_s: float = 0.01,
    cold_s: float = 0.0,
) -> None:
    """Run stand-ins for targets, one on each port.

    Parameters
    ----------
    ports : list[int]
        Ports to listen on.
    ip : str
        Address to listen on.
    slots : int
        Requests that each target runs at the same time.
    latency_s : float
        Time that a request takes, in seconds.
    cold_s : float
        Time after the start during which requests take four times as long, in seconds.
    """
    servers = []
    for port in ports:
        behaviour = Behaviour(latency_s=latency_s, slots=slots, cold_s=cold_s)
        standin = TargetStandin(behaviour)
        servers.append(HttpServer(Address(ip, port), standin, threads=slots * 3 + 4))
    _run_all(servers)


def _serve(address: Address, app: Callable[..., Any], *, threads: int) -> None:
    """Serve one WSGI application until SIGTERM or SIGINT."""
    _run_all([HttpServer(address, app, threads=threads)])


def _run_all(servers: list[HttpServer]) -> None:
    """Run HTTP servers until SIGTERM or SIGINT."""
    configure_logs("console")
    signals = StopSignals()
    for server in servers:
        threading.Thread(target=server.safe_start, daemon=True).start()
    signals.wait()
    for server in servers:
        server.stop()


def main() -> None:
    """Parse the command line and run a stand-in."""
    defopt.run([platform, target])


if __name__ == "__main__":
    main()
