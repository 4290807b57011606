"""Sample configuration on free ports, for the demo, tests and benchmarks."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import Any


def _build_loopback_ip(process_id: int, *, first: int = 64) -> str:
    """Return a loopback address unique to a process, so that processes never share a port.

    Concurrent test runs that shared one address sometimes got the same port, since a port is
    found free long before the process that it is for opens it.  Process ids have 22 bits; they
    map to 127.64.0.0 to 127.127.255.255, which no relay or cut of a fleet uses, or to as many
    addresses from another second number on.
    """
    high, low = divmod(process_id % (1 << 22), 1 << 8)
    return f"127.{first + (high >> 8)}.{high & 255}.{low}"


IP = _build_loopback_ip(os.getpid())
"""Loopback address on which the processes that this one starts listen."""
LINK_IP = _build_loopback_ip(os.getpid(), first=128)
"""Loopback address on which links to targets listen, whose ports `find_ports` never returns."""
_used_ports: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Return free ports chosen by the kernel, none of them twice in this process.

    The ports are on `IP`, which no outgoing connection uses: on 127.0.0.1 an outgoing connection
    sometimes occupied a port that was found free before it was opened.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            sock = stack.enter_context(socket.create_server((IP, 0)))
            port = sock.getsockname()[1]
            if port not in _used_ports:
                _used_ports.add(port)
                ports.append(port)
        return ports


def find_port_pair() -> tuple[int, int]:
    """Return two consecutive free ports, for settings that name a range of ports."""
    while True:
        (first,) = find_ports(1)
        with contextlib.suppress(OSError), socket.create_server((IP, first + 1)):
            if first + 1 not in _used_ports:
                _used_ports.add(first + 1)
                return first, first + 1


def _make_operation(
    name: str, method: str, deadline_s: float, *, repeatable: bool
) -> dict[str, Any]:
    """Build an operation whose path is its name."""
    return {
        "name": name,
        "methods": [method],
        "path": f"/{name}",
        "repeatable": repeatable,
        "deadline_s": deadline_s,
    }


def _make_address(ports: Iterator[int]) -> dict[str, Any]:
    """Build an address with the next free port."""
    return {"ip": IP, "port": next(ports)}


def _make_hall(name: str, entries: int, ports: Iterator[int]) -> dict[str, Any]:
    """Build a hall with its entries; its region is the first letter of its name."""
    return {
        "name": name,
        "region": name[0],
        "entries": [
            {"name": f"{name}-e{i}", "http": _make_address(ports), "wire": _make_address(ports)}
            for i in range(1, entries + 1)
        ],
    }


def _make_links(halls: list[str]) -> list[dict[str, Any]]:
    """Build links between all halls: 1 ms within a region and 12 ms between regions."""
    return [
        {"origin": a, "destination": b, "latency_ms": 1 if a[0] == b[0] else 12}
        for a in halls
        for b in halls
        if a != b
    ]


def make_configuration(
    *, halls: dict[str, int], targets: int = 2, slots: int = 6, deadline_s: float = 3.0
) -> dict[str, Any]:
    """Build a configuration with one service for reads, orders and uploads.

    Parameters
    ----------
    halls : dict of str to int
        Number of entries by hall; a hall ``a2`` is in region ``a``.
    targets : int, optional
        Targets in each hall.
    slots : int, optional
        Slots of each target.
    deadline_s : float, optional
        Deadline of every operation, in seconds.
    """
    ports = iter(find_ports(sum(halls.values()) * 2 + len(halls) * targets))

    regions = sorted({name[0] for name in halls})
    hall_settings = [_make_hall(name, count, ports) for name, count in halls.items()]
    operations = [
        _make_operation("read", "GET", deadline_s, repeatable=True),
        _make_operation("order", "POST", deadline_s, repeatable=False),
        _make_operation("upload", "PUT", deadline_s, repeatable=True),
    ]
    return {
        "regions": [{"name": r} for r in regions],
        "halls": hall_settings,
        "targets": [
            {
                "name": f"{hall}-t{i}",
                "hall": hall,
                "address": _make_address(ports),
                "slots": slots,
                "labels": {"service": "decks"},
            }
            for hall in halls
            for i in range(1, targets + 1)
        ],
        "services": [
            {
                "name": "decks",
                "team": "cards",
                "operations": operations,
                "selector": "service=decks",
            }
        ],
        "teams": [{"name": "cards"}],
        "links": _make_links(list(halls)),
    }
