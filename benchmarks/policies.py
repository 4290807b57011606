"""Comparison of routing policies in one hall of each deployment, with and without target faults."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import Any, NamedTuple

from benchmarks.common import format_table, get_percentile, run_callers, write_result
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration

POLICIES = ["two-choices", "random", "round-robin", "least-reported"]
SECONDS = 4.0
TARGETS = 4
CALLERS = 14
"""Callers, which use a little over half of the 24 slots of four targets."""


class Deployment(NamedTuple):
    """Hall of one of the users: time a request takes, and lag of load reports, in seconds."""

    name: str
    work_s: float
    lag_s: float


class Scenario(NamedTuple):
    """Fault of the first target, as settings of its stand-in."""

    name: str
    behaviour: dict[str, Any]


DEPLOYMENTS = [Deployment("Kaartwerk", 0.015, 2.0), Deployment("Line Photo", 0.04, 2.0)]
SCENARIOS = [
    Scenario("all well", {}),
    Scenario("slow target", {"latency_factor": 6}),
    Scenario("cold target", {"cold": True}),
    Scenario("shed storm", {"shed_share": 0.6}),
]
"""Faults of the first target; it refuses 0.6 of its requests in the last one."""


def main() -> None:
    """Run all measurements and write the table."""
    rows = [
        _measure(deployment, scenario, policy)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        for policy in POLICIES
    ]
    head = [
        "deployment",
        "scenario",
        "policy",
        "served/s",
        "median ms",
        "p99 ms",
        "smallest free share",
        "refused",
        "drain s",
    ]
    write_result("policies", "Routing policies compared", format_table(head, rows))


def _measure(deployment: Deployment, scenario: Scenario, policy: str) -> list[object]:
    """Return the row for one policy in one scenario."""
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2}, targets=TARGETS, deadline_s=2.0)
        fleet.start_platform()
        fleet.apply(configuration)
        fleet.start_admin()
        for t in configuration["targets"]:
            fleet.start_targets(t["name"], [t["address"]["port"]])
            fleet.control(t["name"], latency_s=deployment.work_s, report_lag_s=deployment.lag_s)
        for name in ("a1-e1", "a1-e2"):
            fleet.start_entry(name, policy=policy)
        fleet.wait_ready("a1-e1", "a1-e2")
        _break_target(fleet, deployment, scenario)
        outcomes: Counter[int] = Counter()
        free: list[float] = []
        is_over = threading.Event()
        sampler = threading.Thread(target=_sample_free, args=(fleet, free, is_over))
        sampler.start()

        def call(number: int) -> float:
            """Send one request of a caller, count its status, and return its time in seconds."""
            started = time.perf_counter()
            response = fleet.call(f"a1-e{number % 2 + 1}", "/s/decks/read/x")
            outcomes[response.status] += 1
            took = time.perf_counter() - started
            if response.status != 200:
                time.sleep(0.05)
            return took

        times = run_callers(call, callers=CALLERS, seconds=SECONDS)
        is_over.set()
        sampler.join()
        drain_s = _measure_drain(fleet, call)
    refused = sum(n for status, n in outcomes.items() if status != 200)
    return [
        deployment.name,
        scenario.name,
        policy,
        outcomes[200] / SECONDS,
        get_percentile(times, 0.5) * 1000,
        get_percentile(times, 0.99) * 1000,
        min(free),
        refused,
        drain_s,
    ]


def _break_target(fleet: Fleet, deployment: Deployment, scenario: Scenario) -> None:
    """Cause the scenario's fault at the first target."""
    behaviour = dict(scenario.behaviour)
    if "latency_factor" in behaviour:
        factor = behaviour.pop("latency_factor")
        behaviour["latency_s"] = deployment.work_s * factor
    if behaviour.pop("cold", False):
        # After a restart the target is slow for four seconds, and health checks see it as new.
        name = fleet.configuration["targets"][0]["name"]
        fleet.kill(name)
        port = fleet.configuration["targets"][0]["address"]["port"]
        fleet.start_targets(name, [port], "--cold-s", "4")
        behaviour["latency_s"] = deployment.work_s
    if behaviour:
        fleet.control("a1-t1", **behaviour)


def _sample_free(fleet: Fleet, free: list[float], is_over: threading.Event) -> None:
    """Sample the smallest free share of slots among the targets, as they report it themselves."""
    names = [t["name"] for t in fleet.configuration["targets"]]
    while not is_over.is_set():
        shares = []
        for name in names:
            stats = fleet.get_json(name, "/stats")
            shares.append(1.0 - stats["in_flight"] / stats["slots"])
        free.append(min(shares))
        time.sleep(0.1)


def _measure_drain(fleet: Fleet, call: Any) -> float:
    """Return the seconds from an accepted drain to the last request that the target answered."""
    is_over = threading.Event()

    def keep_calling(number: int) -> None:
        """Send requests of one caller until the measurement ends."""
        while not is_over.is_set():
            call(number)

    threads = [threading.Thread(target=keep_calling, args=(i,)) for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    started = time.monotonic()
    fleet.run_cli("drain", "a1-t2")
    last, seen = started, -1
    while time.monotonic() - started < 2.5:
        answered = fleet.get_json("a1-t2", "/stats")["outcomes"].get("answered", 0)
        if answered != seen:
            last, seen = time.monotonic(), answered
        time.sleep(0.02)
    is_over.set()
    for thread in threads:
        thread.join()
    return last - started


if __name__ == "__main__":
    main()
