"""An accepted configuration reaches every entry, and revisions never decrease."""

import contextlib
import threading
import time

import pytest

from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import make_configuration
from halldoor.tests.background import Background
from halldoor.tests.conftest import start_all

HALLS = {"a1": 2, "a2": 2, "b1": 2, "b2": 2, "c1": 2, "c2": 2}
NAMES = [f"{hall}-e{i}" for hall in HALLS for i in (1, 2)]


class RevisionWatcher(Background):
    """Polls the entries' revisions, and records each decrease within one process."""

    def __init__(self, fleet, names):
        super().__init__(names)
        self.fleet = fleet
        self.decreases = []

    def run(self, name):
        seen, incarnation = 0, ""
        while not self.is_over.is_set():
            with contextlib.suppress(Exception):
                status = self.fleet.get_json(name, "/v1/status")
                if status["incarnation"] != incarnation:
                    seen, incarnation = 0, status["incarnation"]
                if status["revision"] < seen:
                    self.decreases.append((name, seen, status["revision"]))
                seen = status["revision"]
            time.sleep(0.02)


@pytest.fixture(scope="module")
def fleet():
    with Fleet.open() as fleet:
        configuration = make_configuration(halls=HALLS, targets=1)
        fleet.use_relays(configuration)
        start_all(fleet, configuration)
        fleet.start_admin()
        yield fleet


def drain(fleet, target="a1-t1", *, back=False, change_id=""):
    """Drain a target, or end its drain with ``back``, and return the new revision."""
    options = ["--back"] if back else []
    options += ["--change-id", change_id] if change_id else []
    done = fleet.run_cli("drain", target, *options)
    assert done.returncode == 0, done.stderr
    return int(done.stdout.split("revision ")[1].split()[0])


class TestRevisions:
    def test_revision_reaches_every_entry(self, fleet):
        with RevisionWatcher(fleet, NAMES) as watcher:
            for i in range(4):
                revision = drain(fleet, back=bool(i % 2))
                fleet.wait_ready(*NAMES, revision=revision)
        assert not watcher.decreases

    def test_concurrent_changes_with_lost_answers_each_count_once(self, fleet):
        start = max(fleet.get_revision(n) for n in NAMES)
        results = []

        def operate(number):
            for i in range(5):
                name = f"race-{number}-{i}"
                results.append(
                    drain(fleet, DRAINED_TARGETS[number], back=bool(i % 2), change_id=name)
                )

        fleet.set_faults(lose_answers=4)
        with RevisionWatcher(fleet, NAMES) as watcher:
            threads = [threading.Thread(target=operate, args=(n,)) for n in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            fleet.set_faults()
            fleet.wait_ready(*NAMES, revision=start + 10)
        assert not watcher.decreases
        assert sorted(results) == list(range(start + 1, start + 11))

    def test_cut_off_hall_keeps_serving_and_catches_up(self, fleet):
        fleet.cut("127.0.1.", "127.0.0.")
        for i in range(2, 7):
            fleet.cut("127.0.1.", f"127.0.{i}.")
        cut_off, others = NAMES[:2], NAMES[2:]
        before = fleet.get_revision(cut_off[0])
        with RevisionWatcher(fleet, NAMES) as watcher:
            try:
                revision = drain(fleet, "c2-t1")
                fleet.wait_ready(*others, revision=revision)
                assert {fleet.get_revision(n) for n in cut_off} == {before}
                # An entry that restarts in the cut-off hall fetches the revision from its peer.
                fleet.kill("a1-e1")
                fleet.restart_entry("a1-e1")
                fleet.wait_ready("a1-e1", revision=before)
                assert fleet.call("a1-e2", "/s/decks/read/x").status == 200
            finally:
                fleet.end_cuts()  # The tests after this one share the fleet.
            fleet.wait_ready(*NAMES, revision=revision)
        assert not watcher.decreases

    def test_restarted_entry_fetches_from_peers_while_the_platform_is_down(self, fleet):
        revision = max(fleet.get_revision(n) for n in NAMES)
        fleet.set_faults(down=True)
        try:
            fleet.kill("b1-e1")
            fleet.restart_entry("b1-e1")
            fleet.wait_ready("b1-e1", revision=revision)
            assert fleet.call("b1-e1", "/s/decks/read/x").status == 200
            refused = fleet.run_cli("drain", "b1-t1")
            assert refused.returncode == 5
        finally:
            fleet.set_faults()
        assert fleet.get_revision("b1-e1") == revision

    def test_revision_arrives_with_killed_relays_and_a_slow_platform(self, fleet):
        relays = {n for h in HALLS for n in fleet.get_json(f"{h}-e2", "/v1/status")["relays"][:1]}
        fleet.set_faults(slow_s=0.2)
        with RevisionWatcher(fleet, NAMES) as watcher:
            for name in sorted(relays)[:3]:
                fleet.kill(name)
            revision = drain(fleet, "c2-t1", back=True)
            alive = [n for n in NAMES if n not in sorted(relays)[:3]]
            fleet.wait_ready(*alive, revision=revision)
            fleet.set_faults()
            for name in sorted(relays)[:3]:
                fleet.restart_entry(name)
            fleet.wait_ready(*NAMES, revision=revision)
        assert not watcher.decreases

    def test_only_a_few_entries_watch_the_platform(self, fleet):
        wait_until(
            lambda: all(len(fleet.get_json(n, "/v1/status")["members"]) >= 2 for n in NAMES),
            what="members known",
        )
        watching = {n for n in NAMES if n in fleet.get_json(n, "/v1/status")["relays"]}
        assert len(watching) <= 2 * len(HALLS)


DRAINED_TARGETS = ["b2-t1", "c1-t1"]
