"""A shift never moves more than its cap, measured by the targets' request counts."""

import threading
from collections import Counter

import pytest

from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration
from halldoor.tests.conftest import start_all

ENTRIES = ["a1-e1", "a1-e2"]
BIG_BLOCK_ADDRESS = "10.9.9.9"


def make_shift(name="to-b", *, cap=0.2, position=0.2, state="running"):
    return {
        "name": name,
        "service": "decks",
        "to": "region=b",
        "cap": cap,
        "position": position,
        "state": state,
    }


def send_reads(fleet, count, *, entries=ENTRIES, big_share=0.0):
    """Send reads of many client blocks, ``big_share`` from one, and count their statuses."""
    outcomes = Counter()

    def call(worker):
        for i in range(worker, count, 6):
            client = (
                BIG_BLOCK_ADDRESS if i % 10 < big_share * 10 else f"10.{i % 200}.{i // 200 % 200}.1"
            )
            response = fleet.call(
                entries[i % len(entries)], "/s/decks/read/x", headers={"Halldoor-Client": client}
            )
            outcomes[response.status] += 1

    threads = [threading.Thread(target=call, args=(w,)) for w in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def count_requests_in_region(fleet, region):
    """Count the requests that the targets of a region have run."""
    names = [t["name"] for t in fleet.configuration["targets"] if t["hall"][0] == region]
    return sum(fleet.get_json(n, "/stats")["runs"].get("(none)", 0) for n in names)


@pytest.fixture
def fleet():
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2, "b1": 1})
        configuration["shifts"] = [make_shift()]
        start_all(fleet, configuration)
        fleet.start_admin()
        yield fleet


class TestCap:
    @pytest.mark.parametrize("big_share", [0.0, 0.4])
    def test_cap_holds_and_is_used(self, fleet, big_share):
        """The cap holds even if one client block has 40% of the traffic and is chosen to move."""
        assert set(send_reads(fleet, 600, big_share=big_share)) == {200}
        landed = count_requests_in_region(fleet, "b")
        assert landed <= 0.2 * 600
        assert landed >= 0.05 * 600

    def test_one_big_block_alone_is_moved_up_to_the_cap_only(self, fleet):
        # Even if the only client block is chosen, no more than the cap of its requests may move.
        fleet.apply(
            {**fleet.configuration, "shifts": [make_shift(cap=0.25, position=0.25)]},
            change_id="all-in",
        )
        fleet.wait_ready(*ENTRIES, revision=2)
        send_reads(fleet, 400, big_share=1.0)
        assert count_requests_in_region(fleet, "b") <= 0.25 * 400

    def test_two_shifts_and_failover_share_the_caps(self, fleet):
        shifts = [make_shift("one", cap=0.1, position=0.1), make_shift("two", cap=0.2)]
        services = [{**fleet.configuration["services"][0], "failover_cap": 0.15}]
        fleet.apply(
            {**fleet.configuration, "shifts": shifts, "services": services}, change_id="two"
        )
        fleet.wait_ready(*ENTRIES, revision=2)
        send_reads(fleet, 300)
        for target in ("a1-t1", "a1-t2"):
            fleet.control(target, shed_share=1.0)
        outcomes = send_reads(fleet, 300)
        # Requests that may not move are refused with Retry-After, and no others fail.
        assert set(outcomes) <= {200, 503}
        assert count_requests_in_region(fleet, "b") <= 0.1 * 600
        response = fleet.call("a1-e1", "/s/decks/read/x")
        while response.status == 200:
            response = fleet.call("a1-e1", "/s/decks/read/x")
        assert response.headers["Halldoor-Ran"] == "not run"
        assert int(response.headers["Retry-After"]) >= 1

    def test_entry_restarted_and_entries_on_different_revisions(self, fleet):
        send_reads(fleet, 200)
        fleet.kill("a1-e1")
        fleet.restart_entry("a1-e1")
        fleet.wait_ready("a1-e1")
        send_reads(fleet, 200)
        # The position is lowered; entries may still serve the old revision.
        done = fleet.run_cli("shift", "step", "to-b", "--position", "0.05")
        assert done.returncode == 0, done.stderr
        send_reads(fleet, 200)
        assert count_requests_in_region(fleet, "b") <= 0.2 * 600

    def test_step_whose_answer_was_lost_counts_once(self, fleet):
        fleet.set_faults(lose_answers=3)
        done = fleet.run_cli("shift", "step", "to-b", "--position", "0.1", "--change-id", "s1")
        assert done.returncode == 0, done.stderr
        again = fleet.run_cli("shift", "step", "to-b", "--position", "0.1", "--change-id", "s1")
        assert again.returncode == 0, again.stderr
        audit = fleet.run_cli("audit", "--output", "json").stdout
        assert audit.count('"change_id":"s1"') == 1

    def test_pause_holds_and_back_ends_the_shift(self, fleet):
        assert fleet.run_cli("shift", "pause", "to-b").returncode == 0
        assert fleet.run_cli("shift", "step", "to-b", "--position", "0.2").returncode == 2
        assert fleet.run_cli("shift", "back", "to-b").returncode == 0
        fleet.wait_ready(*ENTRIES, revision=3)
        before = count_requests_in_region(fleet, "b")
        send_reads(fleet, 100)
        assert count_requests_in_region(fleet, "b") == before
