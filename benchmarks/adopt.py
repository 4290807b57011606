"""Cost of a configuration change for an entry: bytes fetched, and processor time to adopt it."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from benchmarks.common import fit_line, format_table, write_plot, write_result
from halldoor.core.steering.block import BlockTable
from halldoor.core.steering.configuration import Configuration
from halldoor.core.steering.operation import edit_drain
from halldoor.core.steering.revision import Head, digest, join_configuration, split_configuration
from halldoor.core.steering.snapshot import Snapshot

ROUNDS = 5
"""Rounds, of which the fastest is reported: other load on the machine only adds time."""
CHANGES_A_DAY = 3_300
"""Rate of changes for which the cost per second is computed."""
SITES = [10, 30, 60, 120]
"""Numbers of sites.  Each site has its own service and ten targets; halls and entries grow with
the number of sites."""


def main() -> None:
    """Run all measurements and write the table."""
    rows = [_measure(sites) for sites in SITES]
    head = [
        "sites",
        "targets",
        "halls",
        "entries",
        "whole configuration KB",
        "head KB",
        "KB fetched for a drain",
        "adopt ms (least of 5)",
        "CPU % at 3,300 a day",
        "KB/s at 3,300 a day",
    ]
    xs = [float(r[0]) for r in rows]
    start, slope, residual = fit_line(xs, [float(r[7]) for r in rows])
    note = f"Adopting: {start:.3g} + {slope:.3g} ms a site (greatest residual {residual:.2g} ms)."
    write_result("adopt", "Cost of a configuration change", format_table(head, rows), note)
    write_plot("adopt", "sites", "ms to adopt", {"one entry": (xs, [float(r[7]) for r in rows])})


def make_large(sites: int) -> Configuration:
    """Build a configuration for a number of sites; 120 sites have 30 halls and 840 entries."""
    halls = max(1, sites // 4)
    per_hall = 28
    address = {"ip": "10.0.0.1", "port": 7080}
    operations = [{"name": "all", "methods": ["GET"], "path": "/", "repeatable": True}]
    data: dict[str, Any] = {
        "regions": [{"name": f"r{i}"} for i in range(10)],
        "halls": [
            {
                "name": f"h{i}",
                "region": f"r{i % 10}",
                "entries": [
                    {"name": f"h{i}-e{j}", "http": address, "wire": address}
                    for j in range(per_hall)
                ],
            }
            for i in range(halls)
        ],
        "targets": [
            {
                "name": f"s{s}-t{t}",
                "hall": f"h{(s + t) % halls}",
                "address": address,
                "slots": 6,
                "labels": {"site": f"s{s}"},
            }
            for s in range(sites)
            for t in range(10)
        ],
        "services": [
            {"name": f"s{s}", "team": "t", "operations": operations, "selector": f"site=s{s}"}
            for s in range(sites)
        ],
        "teams": [{"name": "t"}],
        "links": [
            {"origin": f"h{a}", "destination": f"h{b}", "latency_ms": 10}
            for a in range(halls)
            for b in range(halls)
            if a != b
        ],
    }
    return Configuration.from_data(data)


def _measure(sites: int) -> list[object]:
    """Return the row for one number of sites; the measured change drains one target."""
    before = make_large(sites)
    after = edit_drain(before, "s0-t0", is_leaving=True)
    old, new = split_configuration(before), split_configuration(after)
    head = Head(2, "x" * 32, new.names, digest(b""))
    fetched = sum(len(data) for name, data in new.parts.items() if name not in old.parts)
    head_bytes = len(msgspec.msgpack.encode(head))
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        configuration = join_configuration(head, new.parts)
        Snapshot.from_configuration(configuration, revision=2, hall="h0", blocks=BlockTable())
        times.append((time.process_time() - started) * 1000)
    a_second = CHANGES_A_DAY / 86_400
    return [
        sites,
        len(before.targets),
        len(before.halls),
        sum(len(h.entries) for h in before.halls),
        sum(len(d) for d in new.parts.values()) / 1000,
        head_bytes / 1000,
        (fetched + head_bytes) / 1000,
        min(times),
        min(times) / 1000 * a_second * 100,
        (fetched + head_bytes) / 1000 * a_second,
    ]


if __name__ == "__main__":
    main()
