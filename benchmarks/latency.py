"""Latency that an entry adds to a request, and look-ups a second of one process."""

from __future__ import annotations

import time

import urllib3

from benchmarks.common import format_table, get_percentile, run_callers, write_result
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import IP, make_configuration

SECONDS = 6.0
ROUNDS = 3
CALLERS = 3
WORK_S = 0.01
"""Work of a request, in seconds.  Three callers use half of the six slots of two targets."""


def main() -> None:
    """Run all measurements and write the table."""
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 1}, slots=3)
        fleet.start_platform()
        fleet.apply(configuration)
        fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
        fleet.start_entry("a1-e1")
        fleet.wait_ready("a1-e1")
        rows = [row for i in range(ROUNDS) for row in _measure_requests(fleet, i)]
        rows += [_measure_lookups(fleet, i) for i in range(ROUNDS)]
    head = ["round", "what", "requests/s", "median ms", "p99 ms", "added median", "added p99"]
    write_result("latency", "Latency added by an entry, and look-ups", format_table(head, rows))


def _measure_requests(fleet: Fleet, number: int) -> list[list[object]]:
    """Return the rows of one round: direct calls to a target, then calls through the entry."""
    path = f"/s/decks/read/x?work_s={WORK_S}"
    target, entry = fleet.find_port("a1-t1"), fleet.find_port("a1-e1")
    direct = _measure(target, f"/read/x?work_s={WORK_S}")
    through = _measure(entry, path)
    rows = [[number, "direct", *direct, "", ""]]
    added = [through[1] - direct[1], through[2] - direct[2]]
    return [*rows, [number, "through the entry", *through, *added]]


def _measure(port: int, path: str, *, callers: int = CALLERS) -> list[float]:
    """Return requests a second, and median and 99th percentile of the latency in ms."""
    pools = [urllib3.HTTPConnectionPool(IP, port, maxsize=1) for _ in range(callers)]

    def call(number: int) -> float:
        """Send one request on a caller's connection, and return its time in seconds."""
        started = time.perf_counter()
        response = pools[number].request("GET", path, retries=False)
        if response.status != 200:
            raise RuntimeError(f"answered {response.status}: {response.data[:200]!r}")
        return time.perf_counter() - started

    times = run_callers(call, callers=callers, seconds=SECONDS)
    return [
        len(times) / SECONDS,
        get_percentile(times, 0.5) * 1000,
        get_percentile(times, 0.99) * 1000,
    ]


def _measure_lookups(fleet: Fleet, number: int) -> list[object]:
    """Return the row of look-ups.

    Callers run in processes of their own, so that they don't share the entry's interpreter lock.
    """
    import subprocess
    import sys

    port = fleet.find_port("a1-e1")
    code = (
        "import sys, time, http.client\n"
        "port, seconds = int(sys.argv[1]), float(sys.argv[2])\n"
        "c = http.client.HTTPConnection(sys.argv[3], port)\n"
        "times, ends = [], time.monotonic() + seconds\n"
        "while time.monotonic() < ends:\n"
        "    t = time.perf_counter()\n"
        "    c.request('GET', '/v1/lookup?service=decks'); c.getresponse().read()\n"
        "    times.append(time.perf_counter() - t)\n"
        "times.sort()\n"
        "print(len(times), times[len(times) // 2], times[int(len(times) * .99)])\n"
    )
    running = [
        subprocess.Popen(
            [sys.executable, "-c", code, str(port), str(SECONDS), IP],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    results = [p.communicate(timeout=60)[0].split() for p in running]
    total = sum(int(r[0]) for r in results)
    medians = max(float(r[1]) for r in results) * 1000
    tails = max(float(r[2]) for r in results) * 1000
    return [number, "look-ups, 4 callers", total / SECONDS, medians, tails, "", ""]


if __name__ == "__main__":
    main()
