"""Every caller receives the complete answer to its own request."""

import contextlib
import json
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256

import pytest

from halldoor.core.errors import PeerError, Reason
from halldoor.entry import local, remote
from halldoor.entry.request import Cancellation, Request
from halldoor.entry.targets import Fault, TargetFault
from halldoor.standins.fleet import wait_until
from halldoor.standins.sample import IP
from halldoor.standins.target import make_bytes
from halldoor.tests.test_orders import control_all
from halldoor.wire.protocol import decode_reply, encode_call, idl

READ = "/s/decks/read"
NO_SLOT_REASONS = ("no room", "shift cap")
"""Refusal reasons for lack of free slots: in the hall, or there and a cap forbids other halls."""


def wait_for_free_slots(fleet, *entries):
    """Wait until no slot is in use; an abandoned request uses one until its deadline."""

    def list_held():
        known = [fleet.get_json(e, "/v1/status")["targets"].items() for e in entries]
        return [
            (entry, name, counts)
            for entry, targets in zip(entries, known, strict=True)
            for name, counts in targets
            if counts["free"] != counts["home"]
        ]

    try:
        wait_until(lambda: not list_held(), what="slots free")
    except TimeoutError as exc:
        raise TimeoutError(f"{exc}; held: {list_held()}") from None


def call_until_admitted(fleet, entry, path, **options):
    """Call an entry, and retry while it refuses for lack of free slots, as callers do.

    The fleet is shared by the module: requests of earlier tests may still use slots.
    """
    for _ in range(100):
        response = fleet.call(entry, path, **options)
        if response.status == 200:
            break
        refusal = json.loads(response.data)
        if refusal["refused"] not in NO_SLOT_REASONS:
            break
        assert (refusal["ran"], refusal["retry_after_s"] > 0) == ("not run", True)
        time.sleep(0.05)
    return response


class TestCompleteAnswers:
    @pytest.fixture(autouse=True)
    def restore(self, two_halls):
        yield
        control_all(two_halls, truncate=0, stall=0, latency_s=0.01, shed_share=0.0)

    def test_100_callers_get_their_own_answers(self, two_halls):
        """Some answers are truncated, and some callers disconnect, during the calls."""
        control_all(two_halls, truncate=3, latency_s=0.003)
        entries = ["a1-e1", "a1-e2", "b1-e1", "b1-e2"]
        outcomes = Counter()

        def call(number):
            seed, size = f"seed-{number}", 1 + (number * 7919) % 400_000
            if number % 10 == 0:
                start_and_disconnect(two_halls, entries[number % 4])
            path = f"{READ}/{number}?size={size}&seed={seed}"
            for _ in range(200):
                response = two_halls.call(entries[number % 4], path)
                outcomes[response.status] += 1
                if response.status == 200:
                    break
                refusal = json.loads(response.data)
                assert refusal["retry_after_s"] > 0, refusal
                time.sleep(0.05)
            assert response.headers["Answer-For"] == seed
            assert sha256(response.data).digest() == sha256(make_bytes(seed, size)).digest()

        with ThreadPoolExecutor(100) as pool:
            list(pool.map(call, range(400)))
        assert outcomes[200] == 400

    @pytest.mark.parametrize("fault", ["truncate", "stall"])
    def test_broken_small_answer_is_retried(self, two_halls, fault):
        # A retry needs a free slot at the other target; test_room.TestRetry covers the lack of one.
        wait_for_free_slots(two_halls, "a1-e1", "a1-e2", "b1-e1", "b1-e2")
        # Only one target of each hall is faulty, so that a retry can use the other one.
        for target in ("a1-t1", "b1-t1"):
            two_halls.control(target, **{fault: 2})
        for number in range(6):
            path = f"{READ}/x?size=50000&seed=t{number}"
            response = call_until_admitted(two_halls, "a1-e1", path)
            assert (response.status, response.data) == (200, make_bytes(f"t{number}", 50_000))

    @pytest.mark.parametrize("entry", ["a1-e1", "a1-e2"])
    def test_truncated_large_answer_fails_at_the_caller(self, two_halls, entry):
        control_all(two_halls, truncate=9)
        with pytest.raises(Exception, match=r"IncompleteRead|broken|Incomplete"):
            call_until_admitted(two_halls, entry, f"{READ}/x?size=3000000&seed=t")

    def test_answer_truncated_in_another_hall_fails_at_the_caller(self, two_halls):
        for target in ("a1-t1", "a1-t2"):
            two_halls.control(target, shed_share=1.0)
        for target in ("b1-t1", "b1-t2"):
            two_halls.control(target, truncate=9)
        with pytest.raises(Exception, match=r"IncompleteRead|broken|Incomplete"):
            call_until_admitted(two_halls, "a1-e1", f"{READ}/x?size=3000000&seed=t")

    def test_late_answer_is_not_sent_to_the_next_request(self, two_halls):
        """An answer that arrives after its deadline must not be taken for the next request's."""
        control_all(two_halls, latency_s=0.3)
        for number in range(6):
            deadline = {"Halldoor-Deadline-Ms": "150"}
            path = f"{READ}/late?size=1000&seed=late"
            late = call_until_admitted(two_halls, "a1-e1", path, headers=deadline)
            assert late.status == 504
            path = f"{READ}/x?size=1000&seed=n{number}&work_s=0"
            own = call_until_admitted(two_halls, "a1-e1", path)
            assert (own.status, own.data) == (200, make_bytes(f"n{number}", 1_000))

    def test_caller_disconnect_cancels_the_request_at_the_target(self, two_halls):
        def count_cancelled():
            names = [t["name"] for t in two_halls.configuration["targets"]]
            stats = [two_halls.get_json(n, "/stats") for n in names]
            return sum(s["outcomes"].get("cancelled", 0) for s in stats)

        before = count_cancelled()
        start_and_disconnect(two_halls, "a1-e1", work_s=2.5)
        deadline = time.monotonic() + 5
        while count_cancelled() == before and time.monotonic() < deadline:
            time.sleep(0.05)
        assert count_cancelled() == before + 1


class TimedRequest(Request):
    """A request with a fixed remaining time."""

    left_s = 0.0

    def get_remaining_s(self):
        return self.left_s


class TestDeadlines:
    """Forwarded deadlines are rounded down to milliseconds, so they end up to 1 ms earlier."""

    @pytest.mark.parametrize(
        ("left_s", "reason", "status"),
        [
            (-0.001, Reason.DEADLINE, 504),
            (0.0005, Reason.DEADLINE, 504),
            (0.05, Reason.BROKEN, 502),
        ],
    )
    def test_break_within_1_ms_of_the_deadline_is_a_passed_deadline(self, left_s, reason, status):
        request = TimedRequest(
            "d1", "decks", "read", "GET", "/x", (), 0.0, 0, "", True, "", Cancellation()
        )
        request.left_s = left_s
        from_target = local._to_refusal(TargetFault(Fault.MAYBE_RAN, "closed"), request)
        from_hall = remote._to_refusal(PeerError("closed.", remedy="Wait."), request)
        assert [(r.reason, r.status) for r in (from_target, from_hall)] == [(reason, status)] * 2


def start_and_disconnect(fleet, entry, *, work_s=0.5):
    """Start a request and disconnect after 0.1 s."""
    with socket.create_connection((IP, fleet.find_port(entry))) as sock:
        sock.sendall(f"GET {READ}/gone?work_s={work_s} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        time.sleep(0.1)


class TestFrames:
    """A reply between entries is accepted only for the call that it answers."""

    @pytest.mark.parametrize(("method", "sequence"), [("borrow", 8), ("get_head", 7)])
    def test_reply_to_another_call_is_refused(self, method, sequence):
        from halldoor.wire.protocol import answer_call

        class Handler:
            def borrow(self, request):
                return idl.Loan(number=1, index=2, target=request.targets[0])

        request = idl.LoanRequest(targets=["t"], borrower="e", duration_ms=1)
        reply = answer_call(Handler(), encode_call("borrow", 7, {"request": request}))
        assert decode_reply("borrow", 7, reply).index == 2
        with pytest.raises(PeerError, match="came for"):
            decode_reply(method, sequence, reply)

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x00\x00\x00\x05abcde",
            b"\x7f\xff\xff\xff",
            b"\x00\x00\x00\x00",
            b"\x00\x00\x00\x10" + encode_call("get_head", 1, {})[:8],
            b"\x00\x00\x00\x20" + encode_call("get_part", 1, {"digest": "x"})[:-6] + b"\x7f" * 9,
        ],
    )
    def test_invalid_frames_do_not_stop_the_entry(self, two_halls, data):
        wire = two_halls.configuration["halls"][0]["entries"][0]["wire"]["port"]
        with socket.create_connection((IP, wire)) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            # If the entry closed already with unread bytes, the connection is reset.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
            with contextlib.suppress(ConnectionResetError):
                while sock.recv(4096):
                    pass
        assert two_halls.get_revision("a1-e1") >= 1


class TestBadCallers:
    @pytest.mark.parametrize(
        ("head", "status"),
        [
            ("GET /s/nothing/read HTTP/1.1\r\nHost: x\r\n\r\n", 404),
            ("DELETE /s/decks/read HTTP/1.1\r\nHost: x\r\n\r\n", 400),
            ("GET /s/decks/read HTTP/1.1\r\nHost: x\r\nHalldoor-Deadline-Ms: -5\r\n\r\n", 400),
            ("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
            ("GET / HTTP/1.1\r\nHost: x\r\nA: " + "x" * 40_000 + "\r\n\r\n", 413),
            ("PUT /s/decks/upload HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n", 413),
            ("rubbish\r\n\r\n", 400),
        ],
    )
    def test_invalid_requests_get_the_right_status(self, two_halls, head, status):
        with socket.create_connection((IP, two_halls.find_port("a1-e1"))) as sock:
            sock.sendall(head.encode())
            sock.settimeout(5)
            answer = sock.recv(4096)
        assert int(answer.split()[1]) == status

    def test_refusal_without_free_home_slot_may_name_the_cap(self, two_halls):
        """If no home slot is free and the cap is used up, the refusal may name the cap."""
        control_all(two_halls, latency_s=0.3)
        try:
            with ThreadPoolExecutor(24) as pool:
                calls = [pool.submit(two_halls.call, "a1-e1", f"{READ}/x") for _ in range(24)]
            refused = [json.loads(c.result().data) for c in calls if c.result().status != 200]
            assert {r["refused"] for r in refused} <= set(NO_SLOT_REASONS)
            assert "shift cap" in {r["refused"] for r in refused}
            with ThreadPoolExecutor(24) as pool:
                again = [
                    pool.submit(call_until_admitted, two_halls, "a1-e1", f"{READ}/x")
                    for _ in range(24)
                ]
            assert {c.result().status for c in again} == {200}
        finally:
            control_all(two_halls, latency_s=0.01)

    def test_slow_callers_do_not_block_other_callers(self, two_halls):
        port = two_halls.find_port("a1-e1")
        slow = [socket.create_connection((IP, port)) for _ in range(30)]
        try:
            for sock in slow:
                sock.sendall(b"GET /s/decks/read HTTP/1.1\r\nHost:")
            results = []

            def call():
                # Eight concurrent calls exceed the entry's six slots.
                results.append(call_until_admitted(two_halls, "a1-e1", f"{READ}/x").status)

            threads = [threading.Thread(target=call) for _ in range(8)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            assert results == [200] * 8
        finally:
            for sock in slow:
                sock.close()
