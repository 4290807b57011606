"""Leaving targets and stopping entries: no new requests after seconds, and none cut off."""

import json
import threading
import time

import pytest

from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import make_configuration
from halldoor.tests.conftest import start_all
from halldoor.tests.test_room import Flood

READ = "/s/decks/read/x"
# The limit is 3 s; benchmarks measure it, while these tests only wait for the event.


def read_stats(fleet, target):
    return fleet.get_json(target, "/stats")


def count_answered(fleet, target):
    """Count the requests that a target has answered."""
    return read_stats(fleet, target)["outcomes"].get("answered", 0)


def is_known_leaving(fleet, entries, target):
    """Check whether every entry knows that the target leaves."""
    return all(fleet.get_json(e, "/v1/status")["targets"][target]["leaving"] for e in entries)


@pytest.fixture
def fleet():
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2, "b1": 1}, deadline_s=8.0)
        fleet.use_relays(configuration)
        start_all(fleet, configuration, lookup_max_age_s=1.0)
        fleet.start_admin()
        yield fleet


class TestLeavingTarget:
    @pytest.mark.parametrize("source", ["operator", "host list", "target"])
    def test_leaving_target_receives_no_new_requests(self, fleet, source):
        entries = ["a1-e1", "a1-e2"]
        with Flood(fleet, entries, callers=3) as flood:
            flood.wait_for(50)
            if source == "operator":
                assert fleet.run_cli("drain", "a1-t1").returncode == 0
            elif source == "host list":
                fleet.http.request(
                    "PUT", f"{fleet.platform_url}/hosts", body=json.dumps({"a1-t1": True})
                )
            else:
                fleet.control("a1-t1", leaving=True)
            wait_until(lambda: is_known_leaving(fleet, entries, "a1-t1"), what="leaving known")
            time.sleep(0.2)
            before = count_answered(fleet, "a1-t1")
            arrivals = fleet.get_json("a1-t1", "/stats")["arrivals_leaving"]
            # Longer than one report is remembered, so that it has to be repeated.
            time.sleep(5.0)
            flood.wait_for(50)
        assert count_answered(fleet, "a1-t1") == before
        assert fleet.get_json("a1-t1", "/stats")["arrivals_leaving"] == arrivals
        assert set(flood.outcomes) == {"ran"}
        # The target is used again once no source reports it as leaving, even if the relays changed.
        fleet.http.request("PUT", f"{fleet.platform_url}/hosts", body=json.dumps({"a1-t1": False}))
        fleet.control("a1-t1", leaving=False)
        assert fleet.run_cli("drain", "b1-t1").returncode == 0
        assert fleet.run_cli("drain", "a1-t1", "--back").returncode == 0
        wait_until(lambda: not is_known_leaving(fleet, entries[:1], "a1-t1"), what="back at e1")
        wait_until(lambda: not is_known_leaving(fleet, entries[1:], "a1-t1"), what="back at e2")

    def test_leaving_target_in_a_cut_off_hall_receives_no_new_requests(self, fleet):
        fleet.cut("127.0.1.", "127.0.0.")
        fleet.cut("127.0.1.", "127.0.2.")
        with Flood(fleet, ["a1-e1", "a1-e2"], callers=3) as flood:
            flood.wait_for(50)
            fleet.control("a1-t1", leaving=True)
            wait_until(
                lambda: is_known_leaving(fleet, ["a1-e1", "a1-e2"], "a1-t1"), what="leaving known"
            )
            # Requests sent earlier may still run, but no new ones may arrive.
            time.sleep(0.2)
            wait_until(lambda: read_stats(fleet, "a1-t1")["in_flight"] == 0, what="the rest ended")
            before = read_stats(fleet, "a1-t1")
            flood.wait_for(100)
        assert read_stats(fleet, "a1-t1") == before
        assert set(flood.outcomes) == {"ran"}

    def test_status_shows_what_a_drain_waits_for(self, fleet):
        # 6.5 s allow two runs of the command line on a busy machine; the deadline is 8 s.
        caller = threading.Thread(
            target=lambda: [fleet.call("a1-e1", f"{READ}?work_s=6.5") for _ in range(1)]
        )
        caller.start()
        time.sleep(0.4)
        busy = [
            name
            for name, t in fleet.get_json("a1-e1", "/v1/status")["targets"].items()
            if t["in_flight"]
        ]
        assert len(busy) == 1
        assert fleet.run_cli("drain", busy[0]).returncode == 0
        wait_until(lambda: is_known_leaving(fleet, ["a1-e1"], busy[0]), what="leaving known")
        shown = fleet.run_cli("status").stdout
        assert f"Draining {busy[0]}: 1 in flight; waits for a1-e1: 1 request(s)" in shown
        caller.join()
        wait_until(
            lambda: "nothing: it can be stopped" in fleet.run_cli("status").stdout,
            what="drain done",
        )


class Caller:
    """A caller that caches look-up answers for max_age_s, and tries the entries in order."""

    def __init__(self, fleet, entries):
        self.fleet, self.known = fleet, entries
        self.cached, self.until = [], 0.0

    def read(self):
        """Send one read to the first entry that accepts a connection."""
        if time.monotonic() >= self.until:
            self._look_up()
        for entry in self.cached:
            try:
                return self.fleet.call(entry, f"{READ}?work_s=0.03").status
            except Exception as exc:
                if "refused" not in str(exc):
                    return f"cut off: {exc}"
        return "no entry"

    def _look_up(self):
        for entry in [*self.cached, *self.known]:
            try:
                found = self.fleet.get_json(entry, "/v1/lookup?service=decks")
            except Exception:
                continue
            self.cached = [e["name"] for e in found["entries"]]
            self.until = time.monotonic() + found["max_age_s"]
            return


class TestPlannedStop:
    def test_stopping_each_entry_of_a_hall_fails_no_request(self, fleet):
        """Callers with look-up answers cached before a stop must not fail either."""
        outcomes, is_over = [], threading.Event()

        def call():
            caller = Caller(fleet, ["a1-e1", "a1-e2", "b1-e1"])
            while not is_over.is_set():
                outcomes.append(caller.read())

        threads = [threading.Thread(target=call) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        for entry in ("a1-e1", "a1-e2"):
            fleet.stop(entry)
            fleet.restart_entry(entry)
            fleet.wait_ready(entry)
            wait_until(
                lambda entry=entry: (
                    entry
                    in {
                        e["name"]
                        for e in fleet.get_json("b1-e1", "/v1/lookup?service=decks")["entries"]
                    }
                ),
                what=f"{entry} listed again",
            )
        is_over.set()
        for thread in threads:
            thread.join()
        assert set(outcomes) == {200}, [o for o in outcomes if o != 200][:5]
        assert len(outcomes) > 100

    def test_request_forwarded_to_another_hall_outlasts_the_stop(self, fleet):
        """The stopping entry must also wait for requests that run in another hall."""
        for target in ("a1-t1", "a1-t2"):
            fleet.control(target, leaving=True)
        wait_until(
            lambda: all(is_known_leaving(fleet, ["a1-e1"], t) for t in ("a1-t1", "a1-t2")),
            what="targets leaving",
        )
        outcomes = []
        # Longer than the entry keeps serving callers with cached look-up answers.
        caller = threading.Thread(
            target=lambda: outcomes.append(fleet.call("a1-e1", f"{READ}?work_s=5.5").status)
        )
        caller.start()
        time.sleep(0.1)
        fleet.stop("a1-e1")
        caller.join()
        assert outcomes == [200]

    def test_long_request_and_upload_outlast_the_stop(self, fleet):
        outcomes = []

        def call(path, **options):
            outcomes.append(fleet.call("a1-e1", path, **options).status)

        body = b"x" * 3_000_000
        threads = [
            threading.Thread(target=call, args=(f"{READ}?work_s=2.8",)),
            threading.Thread(
                target=call,
                args=("/s/decks/upload?work_s=2.5",),
                kwargs={"method": "PUT", "body": body},
            ),
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.4)
        fleet.stop("a1-e1")
        for thread in threads:
            thread.join()
        assert outcomes == [200, 200]
