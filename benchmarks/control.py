"""Control cost of an entry, by the number of entries, halls and targets.

The control cost is that which callers' requests don't cause, such as of gossip and of changes.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import msgspec

from benchmarks.common import (
    Cost,
    fit_line,
    format_table,
    get_percentile,
    read_cost,
    write_plot,
    write_result,
)
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration

SECONDS = 8.0
"""Time over which the idle cost is measured."""
CHANGES = 4
"""Changes of the configuration whose time until in force is measured."""
START_LIMIT_S = 120.0
"""Longest start of entries, in seconds: 64 processes import libraries at once on a few cores."""


class Size(NamedTuple):
    """Size of an installation: halls, entries and targets in each, and whether relays rotate."""

    halls: int
    entries: int
    targets: int = 1
    rotate: bool = True


# Sizes that vary one dimension each.
IN_ONE_HALL = [Size(1, n) for n in (2, 8, 28)]
SPREAD = [Size(2, 2), Size(4, 4), Size(8, 4), Size(16, 4)]
BY_TARGETS = [Size(1, 2, n) for n in (1, 20)]
RELAYS = [Size(2, 12, 1, True), Size(2, 12, 1, False)]


def main() -> None:
    """Measure every size, and write the table, the fits and the plots."""
    head = [
        "halls",
        "entries",
        "targets/hall",
        "rotating",
        "CPU % idle",
        "CPU % max",
        "sent KB/s",
        "greatest sent KB/s",
        "received KB/s",
        "frames/s",
        "RSS MB",
        "platform calls/s",
        "in force median s",
        "in force greatest s",
    ]
    results = {size: _measure(size) for size in [*IN_ONE_HALL, *SPREAD, *BY_TARGETS, *RELAYS]}
    rows = [
        [s.halls, s.halls * s.entries, s.targets, s.rotate, *result]
        for s, result in results.items()
    ]
    notes = [
        _describe_fit(
            "entries in one hall", IN_ONE_HALL, [s.entries for s in IN_ONE_HALL], results
        ),
        _describe_fit("entries in all", SPREAD, [s.halls * s.entries for s in SPREAD], results),
        _describe_fit("targets in the hall", BY_TARGETS, [s.targets for s in BY_TARGETS], results),
    ]
    write_result("control", "Control cost of an entry", format_table(head, rows), "\n".join(notes))
    totals = [float(s.halls * s.entries) for s in SPREAD]
    write_plot(
        "control_platform_calls",
        "entries in all",
        "platform calls/s",
        {"all entries together": (totals, [results[s][7] for s in SPREAD])},
    )
    near = [float(s.entries) for s in IN_ONE_HALL]
    write_plot(
        "control_traffic",
        "entries in one hall",
        "KB/s sent by one entry",
        {"mean": (near, [results[s][2] for s in IN_ONE_HALL])},
    )


def _describe_fit(
    what: str, sizes: list[Size], xs: list[int], results: dict[Size, list[float]]
) -> str:
    """Return a line of text with the main figures fitted against one dimension of the size."""
    parts = []
    for name, column in (("CPU %", 0), ("sent KB/s", 2), ("RSS MB", 6), ("platform calls/s", 7)):
        start, slope, residual = fit_line(
            [float(x) for x in xs], [results[s][column] for s in sizes]
        )
        parts.append(f"{name} = {start:.3g} + {slope:.3g} n (residual {residual:.2g})")
    return f"- Against {what} n: " + "; ".join(parts)


@contextmanager
def open_fleet(size: Size) -> Iterator[Fleet]:
    """Start an installation of a size with stand-ins, and stop it at the end."""
    names = {f"{chr(97 + i % 10)}{i}": size.entries for i in range(size.halls)}
    with Fleet.open() as fleet:
        configuration = make_configuration(halls=names, targets=size.targets)
        fleet.start_platform()
        fleet.apply(configuration)
        fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
        entries = [e["name"] for h in configuration["halls"] for e in h["entries"]]
        for name in entries:
            fleet.start_entry(name, workers=10, rotate_relays=size.rotate)
        for name in entries:
            fleet.wait_ready(name, limit_s=START_LIMIT_S)
        fleet.start_admin()
        yield fleet


def _measure(size: Size) -> list[float]:
    """Return the figures of one size: costs while idle, then times of changes."""
    with open_fleet(size) as fleet:
        entries = [e["name"] for h in fleet.configuration["halls"] for e in h["entries"]]
        time.sleep(4.0)
        before, calls = _read_all(fleet, entries), _count_calls(fleet)
        time.sleep(SECONDS)
        after, calls_after = _read_all(fleet, entries), _count_calls(fleet)
        times = [t for i in range(CHANGES) for t in _time_change(fleet, entries, i)]
        cpu = [
            (a[0].cpu_s - b[0].cpu_s) / SECONDS * 100 for b, a in zip(before, after, strict=True)
        ]
        sent, received, frames = (
            [(a[1][key] - b[1][key]) / SECONDS for b, a in zip(before, after, strict=True)]
            for key in ("wire_sent_bytes", "wire_received_bytes", "wire_frames")
        )
        return [
            _mean(cpu),
            max(cpu),
            _mean(sent) / 1000,
            max(sent) / 1000,
            _mean(received) / 1000,
            _mean(frames),
            _mean([a[0].rss_mb for a in after]),
            (calls_after - calls) / SECONDS,
            get_percentile(times, 0.5),
            max(times),
        ]


def _mean(values: list[float]) -> float:
    """Return the arithmetic mean."""
    return sum(values) / len(values)


def _read_all(fleet: Fleet, entries: list[str]) -> list[tuple[Cost, Any]]:
    """Read the process cost and the control counters of every entry."""
    return [
        (
            read_cost(fleet.processes[name].pid),
            fleet.get_json(name, "/v1/status")["control"],
        )
        for name in entries
    ]


def _count_calls(fleet: Fleet) -> int:
    """Return the number of calls that the platform received, including watches that wait."""
    stats = fleet.http.request("GET", f"{fleet.platform_url}/stats")
    return sum(msgspec.json.decode(stats.data, type=dict[str, int]).values())


def _time_change(fleet: Fleet, entries: list[str], number: int) -> list[float]:
    """Make a change, and return the seconds until it was in force at each entry."""
    options = ["--back"] if number % 2 else []
    target = fleet.configuration["targets"][0]["name"]
    done = fleet.run_cli("drain", target, *options)
    if done.returncode:
        raise RuntimeError(done.stderr)
    accepted = time.time()
    wanted = int(done.stdout.split("revision ")[1].split()[0])
    times: list[float] = []

    def wait(names: list[str]) -> None:
        """Wait until the revision is in force at some entries, one after the other."""
        for name in names:
            status = fleet.get_json(name, "/v1/status")
            while status["revision"] < wanted:
                time.sleep(0.02)
                status = fleet.get_json(name, "/v1/status")
            times.append(max(0.0, status["adopted_at"] - accepted))

    threads = [threading.Thread(target=wait, args=(entries[i::8],)) for i in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


if __name__ == "__main__":
    main()
