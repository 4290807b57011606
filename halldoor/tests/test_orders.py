"""Orders run at most once, and "not run" is never wrong, despite process and network faults."""

import json
import signal
import socket
import threading
import time
import uuid
from collections import Counter

import pytest

from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import IP, make_configuration
from halldoor.tests.conftest import start_all

ORDER = "/s/decks/order"
ENTRIES = ["a1-e1", "a1-e2", "b1-e1", "b1-e2"]
_serial = iter(range(1, 1_000_000))


def make_id():
    """Make a version 7 UUID with the current time and a serial number."""
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | next(_serial)
    return str(uuid.UUID(int=value))


def send(fleet, entry, *, ticket="", operation="", query="", deadline_ms=0):
    """Send an order, and return the Halldoor-Ran header and the status of its answer."""
    headers = {}
    if ticket:
        headers["Halldoor-Ticket"] = ticket
    if operation:
        headers["Operation-Id"] = operation
    if deadline_ms:
        headers["Halldoor-Deadline-Ms"] = str(deadline_ms)
    try:
        response = fleet.call(entry, ORDER + query, method="POST", body=b"order", headers=headers)
    except Exception:
        return "no answer", 0
    return response.headers.get("Halldoor-Ran"), response.status


def count_runs(fleet):
    """Count the runs of each operation id over all targets."""
    runs = Counter()
    for target in fleet.configuration["targets"]:
        runs.update(fleet.get_json(target["name"], "/stats")["runs"])
    return runs


def read_operation(ticket):
    """Return the operation id of a ticket."""
    from halldoor.core.orders.ticket import decode_ticket

    return decode_ticket(ticket)[0].operation


def control_all(fleet, **behaviour):
    """Set the same fault behaviour at all targets."""
    for target in fleet.configuration["targets"]:
        fleet.control(target["name"], **behaviour)


@pytest.fixture
def fleet():
    with Fleet.open() as fleet:
        start_all(fleet, make_configuration(halls={"a1": 2, "b1": 2}, deadline_s=2.0))
        yield fleet


class TestRepeats:
    """Repeated orders without faults; the tests share one fleet."""

    def test_ticket_sent_to_all_entries_at_once_runs_once(self, two_halls):
        ticket = two_halls.get_ticket("a1-e1")
        outcomes = []

        def call(entry):
            outcomes.append(send(two_halls, entry, ticket=ticket, query="?work_s=0.2"))

        threads = [threading.Thread(target=call, args=(e,)) for e in ENTRIES * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert count_runs(two_halls)[read_operation(ticket)] == 1
        assert ("ran", 200) in outcomes
        assert {told for told, _ in outcomes} <= {"ran", "outcome unknown"}
        assert send(two_halls, "b1-e2", ticket=ticket) == ("ran", 200)

    def test_repeated_id_without_a_ticket_runs_once(self, two_halls):
        operation = make_id()
        outcomes = [send(two_halls, e, operation=operation) for e in ENTRIES * 2]
        assert outcomes == [("ran", 200)] * 8
        assert count_runs(two_halls)[operation] == 1

    def test_concurrent_calls_with_one_id_run_once(self, two_halls):
        ids = [make_id() for _ in range(20)]
        outcomes = {i: [] for i in ids}

        def call(entry):
            for i in ids:
                outcomes[i].append(send(two_halls, entry, operation=i))

        threads = [threading.Thread(target=call, args=(e,)) for e in ENTRIES]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = count_runs(two_halls)
        assert [runs[i] for i in ids] == [1] * 20
        assert all(("ran", 200) in told for told in outcomes.values())
        assert not any("not run" in {t for t, _ in told} for told in outcomes.values())

    def test_ticket_by_id_is_the_same_everywhere(self, two_halls):
        operation = make_id()
        assert len({two_halls.get_ticket(e, operation) for e in ENTRIES}) == 1

    def test_forged_and_garbled_tickets_run_nothing(self, two_halls):
        before = sum(count_runs(two_halls).values())
        ticket = two_halls.get_ticket("a1-e1")
        forged = ticket[:4] + ("A" if ticket[4] != "A" else "B") + ticket[5:]
        for text in (forged, "rubbish", "", "é" * 10):
            headers = {"Halldoor-Ticket": text.encode("latin-1", "replace").decode("latin-1")}
            response = two_halls.call("a1-e1", ORDER, method="POST", body=b"x", headers=headers)
            assert (response.status, response.headers["Halldoor-Ran"]) == (400, "not run")
        assert sum(count_runs(two_halls).values()) == before

    def test_id_that_is_no_uuid_is_refused_with_the_remedy(self, two_halls):
        response = two_halls.call(
            "a1-e1", ORDER, method="POST", body=b"x", headers={"Operation-Id": "order-5"}
        )
        assert response.status == 400
        assert "version 7 UUID" in json.loads(response.data)["message"]


class TestTargetFaults:
    @pytest.fixture(autouse=True)
    def restore(self, two_halls):
        yield
        control_all(two_halls, shed_share=0.0, fail_after_run=0, cut_after_run=0, close_idle=False)

    def test_shed_order_is_not_run_and_runs_with_the_new_ticket(self, two_halls):
        control_all(two_halls, shed_share=1.0)
        operation = make_id()
        response = two_halls.call(
            "a1-e1", ORDER, method="POST", body=b"x", headers={"Operation-Id": operation}
        )
        assert response.headers["Halldoor-Ran"] == "not run"
        assert count_runs(two_halls)[operation] == 0
        control_all(two_halls, shed_share=0.0)
        # A late copy of the first call must not run after its caller received "not run".
        assert send(two_halls, "b1-e1", operation=operation)[0] == "not run"
        assert count_runs(two_halls)[operation] == 0
        fresh = response.headers["Halldoor-Ticket"]
        assert send(two_halls, "b1-e1", ticket=fresh) == ("ran", 200)
        assert count_runs(two_halls)[operation] == 1

    def test_503_after_the_run_is_the_targets_answer_and_not_retried(self, two_halls):
        control_all(two_halls, fail_after_run=9)
        operation = make_id()
        assert send(two_halls, "a1-e1", operation=operation) == ("outcome unknown", 503)
        control_all(two_halls, fail_after_run=0)
        assert send(two_halls, "a1-e2", operation=operation) == ("outcome unknown", 503)
        assert count_runs(two_halls)[operation] == 1

    def test_connection_cut_after_the_run_is_unknown(self, two_halls):
        control_all(two_halls, cut_after_run=9)
        operation = make_id()
        assert send(two_halls, "a1-e1", operation=operation)[0] == "outcome unknown"
        control_all(two_halls, cut_after_run=0)
        assert send(two_halls, "b1-e1", operation=operation)[0] == "outcome unknown"
        assert count_runs(two_halls)[operation] == 1

    def test_connection_closed_while_sending_is_unknown(self, two_halls):
        control_all(two_halls, close_idle=True)
        operation = make_id()
        assert send(two_halls, "a1-e1", operation=operation)[0] == "outcome unknown"
        control_all(two_halls, close_idle=False)
        assert send(two_halls, "a1-e2", operation=operation)[0] == "outcome unknown"
        assert count_runs(two_halls)[operation] == 0

    def test_incomplete_body_runs_nothing(self, two_halls):
        ticket = two_halls.get_ticket("a1-e1")
        port = two_halls.find_port("a1-e1")
        with socket.create_connection((IP, port)) as sock:
            head = (
                f"POST {ORDER} HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
                f"Halldoor-Ticket: {ticket}\r\n\r\nonly a part"
            )
            sock.sendall(head.encode())
        time.sleep(0.3)
        assert count_runs(two_halls)[read_operation(ticket)] == 0

    def test_passed_deadline_is_unknown_and_not_retried(self, two_halls):
        operation = make_id()
        outcome = send(two_halls, "a1-e1", operation=operation, query="?work_s=1", deadline_ms=200)
        assert outcome == ("outcome unknown", 504)
        assert send(two_halls, "b1-e1", operation=operation)[0] == "outcome unknown"
        assert count_runs(two_halls)[operation] <= 1


class TestPlatform:
    def test_platform_outage_runs_tickets_and_reports_ids_as_unknown(self, two_halls):
        ran_before = make_id()
        assert send(two_halls, "a1-e1", operation=ran_before) == ("ran", 200)
        two_halls.set_faults(down=True)
        try:
            ticket = two_halls.get_ticket("a1-e2")
            assert send(two_halls, "b1-e1", ticket=ticket) == ("ran", 200)
            fresh = make_id()
            told = [send(two_halls, e, operation=fresh)[0] for e in ENTRIES]
            # "Not run" would be wrong for an id that ran at another entry before the outage.
            told += [send(two_halls, "b1-e2", operation=ran_before)[0]]
            assert set(told) == {"outcome unknown"}
        finally:
            two_halls.set_faults()
        assert [send(two_halls, e, operation=fresh) for e in ENTRIES] == [("ran", 200)] * 4
        runs = count_runs(two_halls)
        assert (runs[fresh], runs[ran_before]) == (1, 1)

    @pytest.mark.parametrize("lost", [1, 2])
    def test_claim_with_a_lost_answer_runs_once(self, two_halls, lost):
        two_halls.set_faults(lose_answers=lost)
        operation = make_id()
        outcomes = [send(two_halls, e, operation=operation) for e in ENTRIES]
        two_halls.set_faults()
        assert ("ran", 200) in outcomes
        assert count_runs(two_halls)[operation] == 1

    def test_invalid_platform_answer_is_unknown_and_can_be_repeated(self, two_halls):
        two_halls.set_faults(rubbish=True)
        operation = make_id()
        assert send(two_halls, "a1-e1", operation=operation)[0] == "outcome unknown"
        two_halls.set_faults()
        assert send(two_halls, "a1-e1", operation=operation) == ("ran", 200)
        assert count_runs(two_halls)[operation] == 1


class TestProcesses:
    """Faults of processes; each test has its own fleet."""

    def test_tickets_of_a_killed_issuer_are_unknown(self, fleet):
        before, during, after = (fleet.get_ticket("a1-e1") for _ in range(3))
        assert send(fleet, "a1-e2", ticket=after) == ("ran", 200)
        outcomes = []
        caller = threading.Thread(
            target=lambda: outcomes.append(send(fleet, "a1-e2", ticket=during, query="?work_s=0.6"))
        )
        caller.start()
        time.sleep(0.2)
        fleet.kill("a1-e1")
        caller.join()
        assert outcomes[0][0] == "outcome unknown"
        for entry in ENTRIES[1:]:
            for ticket in (before, during, after):
                assert send(fleet, entry, ticket=ticket)[0] == "outcome unknown"
        fleet.restart_entry("a1-e1")
        fleet.wait_ready("a1-e1")
        for entry in ENTRIES:
            for ticket in (before, during, after):
                assert send(fleet, entry, ticket=ticket)[0] == "outcome unknown"
        runs = count_runs(fleet)
        assert runs[read_operation(before)] == 0
        assert runs[read_operation(during)] <= 1
        assert runs[read_operation(after)] == 1

    def test_starting_entry_reports_orders_as_unknown(self, fleet):
        """An entry without a configuration answered 'not run' for an order that ran (soak test)."""
        ticket = fleet.get_ticket("a1-e1")
        assert send(fleet, "a1-e2", ticket=ticket) == ("ran", 200)
        fleet.kill("platform")
        for name in ENTRIES:
            fleet.kill(name)
        fleet.restart_entry("b1-e1")
        fleet.restart_entry("a1-e1")
        for name in ("b1-e1", "a1-e1"):
            wait_until(lambda n=name: fleet.can_connect(fleet.find_port(n)), what=name)
            assert send(fleet, name, ticket=ticket)[0] == "outcome unknown"
            assert send(fleet, name, operation=make_id())[0] == "outcome unknown"

    def test_id_claimed_by_a_killed_entry_is_unknown(self, fleet):
        operation = make_id()
        assert send(fleet, "a1-e1", operation=operation) == ("ran", 200)
        fleet.kill("a1-e1")
        assert send(fleet, "b1-e1", operation=operation)[0] == "outcome unknown"
        fleet.restart_entry("a1-e1")
        fleet.wait_ready("a1-e1")
        assert {send(fleet, e, operation=operation)[0] for e in ENTRIES} == {"outcome unknown"}
        assert count_runs(fleet)[operation] == 1

    def test_orders_of_a_suspended_issuer_run_at_most_once(self, fleet):
        ticket, operation = fleet.get_ticket("a1-e1"), make_id()
        fleet.get_ticket("a1-e1", operation)
        fleet.signal("a1-e1", signal.SIGSTOP)
        outcomes = [send(fleet, e, ticket=ticket) for e in ENTRIES[1:]]
        outcomes += [send(fleet, e, operation=operation) for e in ENTRIES[1:]]
        assert {told for told, _ in outcomes} == {"outcome unknown"}
        time.sleep(1.0)
        fleet.signal("a1-e1", signal.SIGCONT)
        wait_until(lambda: fleet.get_revision("a1-e1") > 0, what="a1-e1 awake")
        for entry in ENTRIES:
            send(fleet, entry, ticket=ticket)
            send(fleet, entry, operation=operation)
        runs = count_runs(fleet)
        assert runs[read_operation(ticket)] <= 1
        assert runs[operation] <= 1

    def test_stopping_issuer_finishes_the_running_order(self, fleet):
        ticket, late = fleet.get_ticket("a1-e1"), fleet.get_ticket("a1-e1")
        outcomes = []
        caller = threading.Thread(
            target=lambda: outcomes.append(send(fleet, "a1-e2", ticket=ticket, query="?work_s=1.5"))
        )
        caller.start()
        time.sleep(0.3)
        stopper = threading.Thread(target=fleet.stop, args=("a1-e1",))
        stopper.start()
        # A caller with a ticket issued before the stop is still served.
        time.sleep(0.5)
        assert send(fleet, "b1-e1", ticket=late) == ("ran", 200)
        caller.join()
        stopper.join()
        assert outcomes == [("ran", 200)]
        assert count_runs(fleet)[read_operation(ticket)] == 1
