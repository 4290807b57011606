"""A sample configuration on free ports, for demo, tests and benchmarks."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import Any


def _build_loopback_ip(process_id: int) -> str:
    """Build a loopback address of a process's own, so that its ports are nobody else's.

    Two test runs side by side that shared one address got the same port now and then: a port
    is found free long before the process that it is for opens it.  Process ids have 22 bits;
    they fill 127.64.0.0 to 127.127.255.255, which no relay or cut of a fleet names.
    """
    high, low = divmod(process_id % (1 << 22), 1 << 8)
    return f"127.{64 + (high >> 8)}.{high & 255}.{low}"


IP = _build_loopback_ip(os.getpid())
"""Loopback address on which this process lets others listen."""
_given: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Let the kernel choose free ports, none of them twice in this process.

    They are on an address that no connection goes out from: on 127.0.0.1 a port that
    was found free is now and then taken by somebody's connection before it is used.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            sock = stack.enter_context(socket.create_server((IP, 0)))
            port = sock.getsockname()[1]
            if port not in _given:
                _given.add(port)
                ports.append(port)
        return ports


def find_port_pair() -> tuple[int, int]:
    """Find two free ports in a row, for settings that name a range of ports."""
    while True:
        (first,) = find_ports(1)
        with contextlib.suppress(OSError), socket.create_server((IP, first + 1)):
            if first + 1 not in _given:
                _given.add(first + 1)
                return first, first + 1


def _make_operation(
    name: str, method: str, deadline_s: float, *, repeatable: bool
) -> dict[str, Any]:
    """Make an operation at a path of its name."""
    return {
        "name": name,
        "methods": [method],
        "path": f"/{name}",
        "repeatable": repeatable,
        "deadline_s": deadline_s,
    }


def _make_address(ports: Iterator[int]) -> dict[str, Any]:
    """Make an address at the next free port."""
    return {"ip": IP, "port": next(ports)}


def _make_hall(name: str, entries: int, ports: Iterator[int]) -> dict[str, Any]:
    """Make a hall with its entries; its region is the first letter of its name."""
    return {
        "name": name,
        "region": name[0],
        "entries": [
            {"name": f"{name}-e{i}", "http": _make_address(ports), "wire": _make_address(ports)}
            for i in range(1, entries + 1)
        ],
    }


def _make_links(halls: list[str]) -> list[dict[str, Any]]:
    """Make links between all halls, short ones inside a region."""
    return [
        {"origin": a, "destination": b, "latency_ms": 1 if a[0] == b[0] else 12}
        for a in halls
        for b in halls
        if a != b
    ]


def make_configuration(
    *, halls: dict[str, int], targets: int = 2, slots: int = 6, deadline_s: float = 3.0
) -> dict[str, Any]:
    """Make a configuration with one service for reads, orders and uploads.

    Parameters
    ----------
    halls : dict of str to int
        Number of entries by hall; a hall ``a2`` stands in region ``a``.
    targets : int, optional
        Targets in each hall.
    slots : int, optional
        Slots of each target.
    deadline_s : float, optional
        Deadline of every operation.
    """
    ports = iter(find_ports(sum(halls.values()) * 2 + len(halls) * targets))

    regions = sorted({name[0] for name in halls})
    rows = [_make_hall(name, count, ports) for name, count in halls.items()]
    operations = [
        _make_operation("read", "GET", deadline_s, repeatable=True),
        _make_operation("order", "POST", deadline_s, repeatable=False),
        _make_operation("upload", "PUT", deadline_s, repeatable=True),
    ]
    return {
        "regions": [{"name": r} for r in regions],
        "halls": rows,
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
