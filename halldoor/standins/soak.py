"""Soak test: real processes under random requests and faults, with invariant checks."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import threading
import time
import uuid
from collections import Counter
from hashlib import sha256
from typing import Any

import defopt

from halldoor.core.orders.ticket import decode_ticket
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration
from halldoor.standins.target import make_bytes

CALLERS = 16
DEADLINE_S = 1.5
SERVICE = "/s/decks"
SHIFT_CAP = 0.2


class Soak:
    """Callers, faults and checks of one run.

    Parameters
    ----------
    fleet : Fleet
        A fleet with relays, all processes started.
    seed : int
        Seed of the callers' choices and the faults.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self._lock = threading.Lock()
        self._is_over = threading.Event()
        # Values of the `Halldoor-Ran` header in the answers to callers, by operation id.
        self._reported_runs: dict[str, set[str]] = {}
        self.names = [e["name"] for h in fleet.configuration["halls"] for e in h["entries"]]
        self.targets = [t["name"] for t in fleet.configuration["targets"]]

    def run_caller(self, number: int) -> None:
        """Send random requests of every kind until the run is over."""
        rng = random.Random(f"{self.random.random()}-{number}")
        kinds = [self._read, self._read, self._order, self._order_by_id, self._upload]
        while not self._is_over.is_set():
            with contextlib.suppress(Exception):
                rng.choice(kinds)(rng)
            time.sleep(rng.uniform(0, 0.05))

    def _call(self, entry: str, path: str, kind: str, **options: Any) -> Any:
        """Send one request, and count its outcome."""
        try:
            response = self.fleet.call(entry, path, **options)
        except Exception:
            self._count_outcome(f"{kind}: no answer")
            raise
        ran = response.headers.get("Halldoor-Ran", "")
        self._count_outcome(f"{kind}: {'served' if response.status == 200 else ran}")
        return response

    def _count_outcome(self, what: str) -> None:
        """Count an outcome."""
        with self._lock:
            self.outcomes[what] += 1

    def record_violation(self, what: str) -> None:
        """Record a violation of an invariant."""
        with self._lock:
            self.violations.append(what)

    def _read(self, rng: random.Random) -> None:
        """Send a read, and check the body of the answer."""
        seed, size = f"r{rng.random()}", rng.choice([10, 5_000, 300_000])
        path = f"{SERVICE}/read/x?size={size}&seed={seed}&work_s={rng.choice([0, 0.02, 0.2])}"
        response = self._call(rng.choice(self.names), path, "read")
        if response.status == 200 and response.data != make_bytes(seed, size):
            self.record_violation(f"read {seed}: another answer of {len(response.data)} bytes")

    def _upload(self, rng: random.Random) -> None:
        """Send an upload, and check the digest of the body that arrived."""
        body = rng.randbytes(rng.choice([10, 100_000, 600_000]))
        response = self._call(
            rng.choice(self.names), f"{SERVICE}/upload", "upload", method="PUT", body=body
        )
        if response.status == 200:
            reported = json.loads(response.data)["sha256"]
            if reported != sha256(body).hexdigest():
                self.record_violation("upload: another body arrived")

    def _order(self, rng: random.Random) -> None:
        """Send an order with a ticket through one or several entries."""
        ticket = self.fleet.get_ticket(rng.choice(self.names))
        read = decode_ticket(ticket)
        if read is not None:
            self._send_order(rng, read[0].operation, {"Halldoor-Ticket": ticket})

    def _order_by_id(self, rng: random.Random) -> None:
        """Send an order with the caller's operation id and no ticket, as a reloaded page does."""
        value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | rng.getrandbits(61)
        operation = str(uuid.UUID(int=value))
        self._send_order(rng, operation, {"Operation-Id": operation})

    def _send_order(self, rng: random.Random, operation: str, headers: dict[str, str]) -> None:
        """Send an order one to three times, and record whether each answer says that it ran."""
        path = f"{SERVICE}/order?work_s={rng.choice([0, 0.02, 0.3])}"
        for _ in range(rng.randint(1, 3)):
            with contextlib.suppress(Exception):
                response = self._call(
                    rng.choice(self.names),
                    path,
                    "order",
                    method="POST",
                    body=b"order",
                    headers=headers,
                )
                with self._lock:
                    reported = self._reported_runs.setdefault(operation, set())
                    reported.add(response.headers.get("Halldoor-Ran", ""))

    def run_faults(self, minutes: float) -> None:
        """Inject random faults one after another, sometimes two at once, for some minutes."""
        faults = [
            self._kill,
            self._freeze,
            self._cut_halls,
            self._cut_inside,
            self._cut_platform,
            self._platform,
            self._lose_answers,
            self._targets,
            self._lose_hall,
            self._drain,
            self._stop,
            self._step_shift,
        ]
        ends = time.monotonic() + minutes * 60
        while time.monotonic() < ends:
            chosen = self.random.sample(faults, self.random.choice([1, 1, 2]))
            threads = [threading.Thread(target=self._inject, args=(f,)) for f in chosen]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(self.random.uniform(0.5, 2.0))
        self._is_over.set()

    def _inject(self, fault: Any) -> None:
        """Inject one fault, and count it by its function's name."""
        with self._lock:
            self.faults[fault.__name__.strip("_")] += 1
        try:
            fault()
        except Exception as exc:
            self._count_outcome(f"fault not injected: {type(exc).__name__}")

    def _kill(self) -> None:
        """Kill an entry, and restart it up to 3 s later."""
        name = self.random.choice(self.names)
        self.fleet.kill(name)
        time.sleep(self.random.uniform(0, 3))
        self.fleet.restart_entry(name)
        self.fleet.wait_ready(name)

    def _stop(self) -> None:
        """Stop an entry gracefully, and restart it."""
        name = self.random.choice(self.names)
        self.fleet.stop(name, limit_s=90)
        self.fleet.restart_entry(name)
        self.fleet.wait_ready(name)

    def _freeze(self) -> None:
        """Suspend an entry for up to three deadlines."""
        name = self.random.choice(self.names)
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.5, DEADLINE_S * 3))
        self.fleet.signal(name, signal.SIGCONT)

    def _cut_halls(self) -> None:
        """Cut the traffic between the first two halls."""
        self.fleet.cut("127.0.1.", "127.0.2.")
        time.sleep(self.random.uniform(1, 4))
        self.fleet.end_cuts()

    def _cut_inside(self) -> None:
        """Cut the traffic between the two entries of the first hall."""
        self.fleet.cut("127.0.1.1", "127.0.1.2")
        time.sleep(self.random.uniform(1, 4))
        self.fleet.end_cuts()

    def _cut_platform(self) -> None:
        """Cut the first hall off from the platform."""
        self.fleet.cut("127.0.1.", "127.0.0.")
        time.sleep(self.random.uniform(1, 4))
        self.fleet.end_cuts()

    def _platform(self) -> None:
        """Make the platform fail, answer slowly or answer invalid bytes."""
        faults: list[dict[str, Any]] = [{"down": True}, {"slow_s": 0.4}, {"rubbish": True}]
        fault = self.random.choice(faults)
        self.fleet.set_faults(**fault)
        time.sleep(self.random.uniform(1, 5))
        self.fleet.set_faults()

    def _lose_answers(self) -> None:
        """Lose the platform's answers to a few writes."""
        self.fleet.set_faults(lose_answers=self.random.randint(1, 5))
        time.sleep(1)
        self.fleet.set_faults()

    def _targets(self) -> None:
        """Give a target a random fault for a while."""
        name = self.random.choice(self.targets)
        behaviours: list[dict[str, Any]] = [
            {"shed_share": 0.5},
            {"fail_after_run": 5},
            {"cut_after_run": 5},
            {"truncate": 5},
            {"stall": 3},
            {"latency_s": 0.5},
            {"report_load": 0.0},
            {"healthy": False},
            {"close_idle": True},
        ]
        self.fleet.control(name, **self.random.choice(behaviours))
        time.sleep(self.random.uniform(1, 3))
        self._reset_target(name)

    def _reset_target(self, name: str) -> None:
        """Reset a target's behaviour to the one without faults."""
        self.fleet.control(
            name,
            shed_share=0.0,
            fail_after_run=0,
            cut_after_run=0,
            truncate=0,
            stall=0,
            latency_s=0.01,
            report_load=-1.0,
            healthy=True,
            close_idle=False,
        )

    def _lose_hall(self) -> None:
        """Kill both entries of the first hall, and restart them."""
        lost = self.names[:2]
        for name in lost:
            self.fleet.kill(name)
        time.sleep(self.random.uniform(0.5, 2))
        for name in lost:
            self.fleet.restart_entry(name)
        self.fleet.wait_ready(*lost)

    def _drain(self) -> None:
        """Drain a target, check that it receives no new requests, and undo the drain."""
        name = self.random.choice(self.targets)
        self.fleet.run_cli("drain", name)
        time.sleep(4.0)
        before = self._count_arrivals(name)
        time.sleep(1.5)
        if self._is_seen_leaving(name) and self._count_arrivals(name) != before:
            self.record_violation(f"drain: {name} still gets new work after 4 s")
        self.fleet.run_cli("drain", name, "--back")

    def _is_seen_leaving(self, name: str) -> bool:
        """Check whether both entries of a target's hall see it leaving and no cut is active."""
        answer = self.fleet.run_cli("status", "--output", "json")
        if answer.returncode or self.fleet.cuts:
            return False
        entries = json.loads(answer.stdout)["entries"]
        hall = name.split("-", maxsplit=1)[0]
        mine = [e for e in entries if e.get("hall") == hall]
        return len(mine) == 2 and all(e["targets"][name]["leaving"] for e in mine)

    def _count_arrivals(self, name: str) -> int:
        """Return the number of requests that a target has answered."""
        stats = self.fleet.get_json(name, "/stats")
        return int(stats["outcomes"].get("answered", 0))

    def _step_shift(self) -> None:
        """Start the traffic shift at a random position."""
        position = self.random.choice(["0.05", "0.1", "0.2"])
        self.fleet.run_cli("shift", "start", "to-b", "--position", position)

    def check_results(self) -> None:
        """Check the targets' counts against the callers' answers and the slots; check the logs."""
        time.sleep(DEADLINE_S * 2)
        runs: Counter[str] = Counter()
        for name in self.targets:
            stats = self.fleet.get_json(name, "/stats")
            runs.update(stats["runs"])
            if stats["greatest"] > stats["slots"]:
                self.record_violation(
                    f"{name}: {stats['greatest']} in flight, {stats['slots']} slots"
                )
        for operation, count in runs.items():
            if operation != "(none)" and count > 1:
                self.record_violation(f"operation {operation} ran {count} times")
        for operation, reported in self._reported_runs.items():
            if "not run" in reported and runs[operation]:
                self.record_violation(
                    f"operation {operation} ran, but was reported as not run: {reported}"
                )
        for name in self.names:
            for line in self.fleet.read_log(name).splitlines():
                if "Invariant broken" in line or "InvariantError" in line:
                    self.record_violation(f"{name}: {line.strip()[:200]}")


def run(*, seed: int = 1, minutes: float = 10.0) -> None:
    """Run callers and faults, check the results, and exit with 1 on any violation.

    Parameters
    ----------
    seed
        Seed of the callers' choices and the faults.
    minutes
        Length of the run, in minutes.
    """
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2, "a2": 2, "b1": 2}, deadline_s=DEADLINE_S)
        configuration["shifts"] = [
            {"name": "to-b", "service": "decks", "to": "region=b", "cap": SHIFT_CAP}
        ]
        fleet.use_relays(configuration)
        fleet.start_platform()
        fleet.start_admin()
        fleet.apply(configuration)
        fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
        soak = Soak(fleet, seed)
        for name in soak.names:
            fleet.start_entry(name, rest_at_start=True, lookup_max_age_s=1.0)
        fleet.wait_ready(*soak.names)
        callers = [
            threading.Thread(target=soak.run_caller, args=(i,), daemon=True) for i in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        soak.run_faults(minutes)
        for caller in callers:
            caller.join(30)
        soak.check_results()
        _print_summary(soak, seed, minutes)
    if soak.violations:
        raise SystemExit(1)


def _print_summary(soak: Soak, seed: int, minutes: float) -> None:
    """Print the faults, outcomes and violations of a run."""
    print(f"seed {seed}, {minutes} minutes")
    print("faults:", ", ".join(f"{n} {k}" for k, n in sorted(soak.faults.items())))
    print("outcomes:")
    for outcome, count in sorted(soak.outcomes.items()):
        print(f"  {outcome}: {count}")
    print(f"operations with an answer: {len(soak._reported_runs)}")
    print(f"violations: {len(soak.violations)}")
    for violation in soak.violations[:20]:
        print(f"  {violation}")


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
