"""Reaction times of entries: leaving targets by source, healed network cuts, planned stops."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable

from benchmarks.common import format_table, write_result
from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import make_configuration

ROUNDS = 4
"""Repetitions of each measurement."""
ENTRIES = ["a1-e1", "a1-e2"]


def main() -> None:
    """Run all measurements and write the table."""
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2, "b1": 2})
        fleet.use_relays(configuration)
        fleet.start_platform()
        fleet.start_admin()
        fleet.apply(configuration)
        fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
        names = [e["name"] for h in configuration["halls"] for e in h["entries"]]
        for name in names:
            fleet.start_entry(name, lookup_max_age_s=1.0)
        fleet.wait_ready(*names)
        time.sleep(1.0)
        rows = [
            _measure("operator", lambda: _drain(fleet), fleet),
            _measure("host list", lambda: _set_hosts(fleet, True), fleet),
            _measure("target itself", lambda: fleet.control("a1-t1", leaving=True), fleet),
            _measure_heal(fleet),
            _measure_stop(fleet),
        ]
    head = ["what", "rounds", "least s", "greatest s"]
    note = (
        "Leaving: from the notice to the last request that the target answered, under load. "
        "Cut: from its end to the revision that was missed. Stop: with look-ups kept for 1 s."
    )
    write_result("reaction", "How fast entries react", format_table(head, rows), note)


def _drain(fleet: Fleet) -> None:
    """Drain the target by the command line, which returns once the change is accepted."""
    fleet.run_cli("drain", "a1-t1")


def _set_hosts(fleet: Fleet, is_leaving: bool) -> None:
    """Mark the target as leaving, or not leaving, in the platform's host list."""
    body = json.dumps({"a1-t1": is_leaving})
    fleet.http.request("PUT", f"{fleet.platform_url}/hosts", body=body)


def _measure(what: str, announce_leaving: Callable[[], None], fleet: Fleet) -> list[object]:
    """Measure the time from a notice that the target leaves, by one source, to its last request."""
    times = []
    for _ in range(ROUNDS):
        is_over = threading.Event()

        def call(entry: str, is_over: threading.Event = is_over) -> None:
            """Send requests through one entry until the round ends."""
            while not is_over.is_set():
                fleet.call(entry, "/s/decks/read/x?work_s=0.01")

        threads = [threading.Thread(target=call, args=(e,)) for e in ENTRIES * 2]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        announce_leaving()
        started, last, seen = time.monotonic(), time.monotonic(), -1
        while time.monotonic() - started < 4.5:
            stats = fleet.get_json("a1-t1", "/stats")
            arrived = stats["outcomes"].get("answered", 0) + stats["arrivals_leaving"]
            if arrived != seen:
                last, seen = time.monotonic(), arrived
            time.sleep(0.02)
        times.append(last - started)
        is_over.set()
        for thread in threads:
            thread.join()
        _restore(fleet)
    return [f"leaving, told by {what}", ROUNDS, min(times), max(times)]


def _restore(fleet: Fleet) -> None:
    """Undo every notice that the target leaves, and wait until all entries use it again."""
    fleet.control("a1-t1", leaving=False)
    fleet.run_cli("drain", "a1-t1", "--back")
    _set_hosts(fleet, False)
    wait_until(
        lambda: (
            not any(fleet.get_json(e, "/v1/status")["targets"]["a1-t1"]["leaving"] for e in ENTRIES)
        ),
        what="target back",
    )


def _measure_heal(fleet: Fleet) -> list[object]:
    """Measure how fast a hall that was cut off applies a missed revision after the cut heals."""
    times = []
    for i in range(ROUNDS):
        for other in ("127.0.0.", "127.0.2."):
            fleet.cut("127.0.1.", other)
        time.sleep(0.5)
        options = ["--back"] if i % 2 else []
        done = fleet.run_cli("drain", "b1-t1", *options)
        wanted = int(done.stdout.split("revision ")[1].split()[0])
        time.sleep(2.0)
        fleet.end_cuts()
        times.append(
            wait_until(
                lambda wanted=wanted: all(  # type: ignore[misc]
                    fleet.get_revision(e) >= wanted for e in ENTRIES
                ),
                what="caught up",
            )
        )
    return ["cut-off hall in force again", ROUNDS, min(times), max(times)]


def _measure_stop(fleet: Fleet) -> list[object]:
    """Measure the time of a planned stop of an entry without load."""
    times = []
    for _ in range(ROUNDS):
        times.append(fleet.stop("b1-e1"))
        fleet.restart_entry("b1-e1")
        fleet.wait_ready("b1-e1")
    return ["planned stop of an idle entry", ROUNDS, min(times), max(times)]


if __name__ == "__main__":
    main()
