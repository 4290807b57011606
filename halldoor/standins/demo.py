"""Demo on stand-ins: two halls, three kinds of request, a drain and a graceful stop."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from hashlib import sha256
from typing import Any

from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import make_configuration
from halldoor.standins.target import make_bytes

LOAD_S = 4.0
CALLERS = 6


def main() -> None:
    """Run the demo; every step is checked, and a failed check aborts it."""
    with Fleet.open() as fleet:
        _start(fleet)
        _serve_requests(fleet)
        _drain_under_load(fleet)
        _print_status(fleet)
    print("Everything that the demo started has been stopped.")


def _start(fleet: Fleet) -> None:
    """Start two halls, and apply a configuration with the command line."""
    fleet.start_platform()
    fleet.start_admin()
    configuration = make_configuration(halls={"a1": 2, "b1": 2})
    path = fleet.write_configuration(configuration)
    print(_get_output(fleet.run_cli("validate", str(path))))
    print(_get_output(fleet.run_cli("apply", str(path))).splitlines()[0])
    fleet.start_targets("targets", [t["address"]["port"] for t in configuration["targets"]])
    names = [e["name"] for h in configuration["halls"] for e in h["entries"]]
    for name in names:
        fleet.start_entry(name)
    fleet.wait_ready(*names)
    print(f"Entries up: {', '.join(names)}.")


def _get_output(done: Any) -> str:
    """Return a command's output; exit with its error if it failed."""
    if done.returncode:
        raise SystemExit(f"Command failed with {done.returncode}: {done.stderr}")
    return str(done.stdout).strip()


def _serve_requests(fleet: Fleet) -> None:
    """Send a read, an order and an upload across halls, check them, and explain each."""
    found = fleet.get_json("a1-e1", "/v1/lookup?service=decks")
    print(f"Look-up: {', '.join(e['name'] for e in found['entries'])}.")
    # With its own targets leaving, hall a1 must use the targets of hall b1.
    for target in ("a1-t1", "a1-t2"):
        fleet.control(target, leaving=True)
    wait_until(
        lambda: all(
            t["leaving"] for t in fleet.get_json("a1-e1", "/v1/status")["targets"].values()
        ),
        what="targets of a1 seen leaving",
    )
    read = fleet.call("a1-e1", "/s/decks/read/deck-5?size=200000&seed=deck-5")
    assert read.data == make_bytes("deck-5", 200_000), "the read returned a wrong body"
    ticket = fleet.get_ticket("a1-e1")
    order = fleet.call(
        "a1-e1",
        "/s/decks/order",
        method="POST",
        body=b"assign deck 5 to class 2",
        headers={"Halldoor-Ticket": ticket},
    )
    repeated = fleet.call(
        "a1-e2", "/s/decks/order", method="POST", body=b"x", headers={"Halldoor-Ticket": ticket}
    )
    assert order.data == repeated.data, "a repeated order must return the first answer"
    body = bytes(range(256)) * 40_000
    upload = fleet.call("a1-e1", "/s/decks/upload", method="PUT", body=body)
    assert json.loads(upload.data)["sha256"] == sha256(body).hexdigest(), "a wrong body arrived"
    runs = sum(
        count
        for t in fleet.configuration["targets"]
        for name, count in fleet.get_json(t["name"], "/stats")["runs"].items()
        if name != "(none)"
    )
    assert runs == 1, f"the order ran {runs} times"
    print("Read, order (sent twice, ran once) and a 10 MB upload served across halls.")
    for response in (read, order, upload):
        print(_get_output(fleet.run_cli("explain", response.headers["Halldoor-Decision"])))
        print()
    for target in ("a1-t1", "a1-t2"):
        fleet.control(target, leaving=False)


def _drain_under_load(fleet: Fleet) -> None:
    """Drain a target while callers send requests; check that no request fails."""
    outcomes: Counter[str] = Counter()
    ends = time.monotonic() + LOAD_S

    def call(entry: str) -> None:
        while time.monotonic() < ends:
            response = fleet.call(entry, "/s/decks/read/x?work_s=0.02")
            outcomes[f"{response.status}"] += 1

    threads = [
        threading.Thread(target=call, args=(f"b1-e{i % 2 + 1}",), daemon=True)
        for i in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    print(_get_output(fleet.run_cli("drain", "b1-t1")).splitlines()[0])
    time.sleep(1.5)
    before = fleet.get_json("b1-t1", "/stats")["outcomes"].get("answered", 0)
    for thread in threads:
        thread.join()
    after = fleet.get_json("b1-t1", "/stats")["outcomes"].get("answered", 0)
    assert set(outcomes) == {"200"}, f"requests were lost in the drain: {dict(outcomes)}"
    assert before == after, "the drained target still received new requests"
    print(f"Drained b1-t1 under load: {outcomes['200']} requests, none lost.")


def _print_status(fleet: Fleet) -> None:
    """Print the status, and stop an entry gracefully."""
    print(_get_output(fleet.run_cli("status")))
    took_s = fleet.stop("a1-e2")
    print(f"Stopped entry a1-e2 in the planned way in {took_s:.1f} s.")


if __name__ == "__main__":
    main()
