"""Odd requests of callers are refused, or sent as they came, and keep no slot of a target."""

import base64
import socket
import time

import msgspec
import pytest

from halldoor.core.errors import Ran
from halldoor.core.settings import Address
from halldoor.entry.local import LocalHall
from halldoor.entry.request import Body
from halldoor.entry.targets import TargetClient
from halldoor.standins.fleet import TOKEN, Fleet
from halldoor.standins.sample import IP, make_configuration
from halldoor.tests.conftest import start_all
from halldoor.tests.test_room import build_controller, make_read

READ = "/s/decks/read/x"
NESTED = base64.urlsafe_b64encode(b"m" * 16 + b"[" * 20_000).decode()
LONG = "9" * 5_000


@pytest.fixture(scope="module")
def fleet():
    with Fleet.open() as running:
        start_all(running, make_configuration(halls={"a1": 1}))
        yield running


def send(fleet, path, *headers, method="GET"):
    """Send a request as it is; return the answer's status."""
    with socket.create_connection((IP, fleet.find_port("a1-e1")), 5.0) as sock:
        lines = [f"{method} {path} HTTP/1.1", "Host: e", "Connection: close", *headers, "", ""]
        sock.sendall("\r\n".join(lines).encode("latin-1"))
        answer = sock.makefile("rb").read()
    return int(answer.split()[1])


def assert_targets_are_sound(fleet):
    assert [fleet.call("a1-e1", READ).status for _ in range(10)] == [200] * 10


@pytest.mark.parametrize(
    "headers",
    [
        [f"Halldoor-Deadline-Ms: {LONG}"],
        ["Halldoor-Deadline-Ms: 0"],
        ["Halldoor-Deadline-Ms: 1e3"],
        ["Halldoor-Deadline-Ms: \xb2"],
    ],
    ids=["long", "zero", "exponent", "superscript"],
)
def test_odd_deadline_fails_within_the_entry(fleet, headers):
    assert send(fleet, READ, *headers) == 400
    assert_targets_are_sound(fleet)


@pytest.mark.parametrize(
    "path", [READ + "%20y", READ + "%00", READ + "%C3%A4", READ + "%0d%0aX:%20y"]
)
def test_escaped_path_keeps_slots_of_all_targets(fleet, path):
    """The unescaped path couldn't be sent; each attempt kept a slot until the deadline."""
    assert [send(fleet, path) for _ in range(6)] == [200] * 6
    assert_targets_are_sound(fleet)


@pytest.mark.parametrize("header", ["X-Odd: a\rb", "X-Odd: a\x00b", "X-Odd: \xff\xfe"])
def test_odd_header_keeps_slots_of_all_targets(fleet, header):
    assert {send(fleet, READ, header) for _ in range(6)} <= {200, 400}
    assert_targets_are_sound(fleet)


@pytest.mark.parametrize("ticket", [NESTED, "!", "=", LONG, "\xff"])
def test_odd_ticket_fails_within_the_entry(fleet, ticket):
    status = send(
        fleet, "/s/decks/order", f"Halldoor-Ticket: {ticket}", "Content-Length: 0", method="POST"
    )
    assert status in (400, 409)
    assert_targets_are_sound(fleet)


def test_odd_look_ups_fail_within_the_entry(fleet):
    for query in (f"service=decks&client={LONG}", "service=decks&client=%00", "client=1.2.3.4"):
        assert send(fleet, f"/v1/lookup?{query}") in (200, 404)
    for query in (f"record={NESTED}", "record=%ff", "id=%00", f"id={LONG}"):
        assert send(fleet, f"/v1/explain?{query}") in (400, 404)


ODD_CALLS = [
    ("POST", "/v1/plan", b'{"configuration": {"a": ' + b"[" * 50_000),
    ("POST", "/v1/apply", b'{"base": ' + b"9" * 5_000 + b', "configuration": {}}'),
    ("POST", "/v1/shift", b'{"name": "s", "verb": "step", "position": 1e999}'),
    ("POST", "/v1/drain", b"\xff"),
    ("GET", f"/v1/audit?limit={LONG}", None),
    ("GET", "/v1/audit?limit=%C2%B2", None),
    ("GET", "/v1/audit?limit=-1", None),
]


@pytest.mark.parametrize(("method", "path", "body"), ODD_CALLS, ids=range(len(ODD_CALLS)))
def test_odd_call_of_the_administration_api_ends_as_a_failure(fleet, method, path, body):
    if not fleet.admin_port:
        fleet.start_admin()
    response = fleet.http.request(
        method,
        f"http://{IP}:{fleet.admin_port}{path}",
        body=body,
        headers={"Authorization": f"Bearer {TOKEN}"},
    )
    assert (response.status, sorted(response.json())) == (400, ["error", "kind", "remedy"])


def test_body_that_breaks_off_is_blamed_on_its_target():
    """The caller was told that the target broke off, and the target counted as failing."""
    controller = build_controller(targets=1)
    results = []
    controller.record_result = lambda *args, **options: results.append(options)

    class Client(TargetClient):
        def send(self, target, *args, **options):
            address = Address(*listener.getsockname())
            return super().send(msgspec.structs.replace(target, address=address), *args, **options)

    def break_off():
        yield b"b" * 70_000
        raise ValueError("Bad chunked transfer size")

    with socket.create_server((IP, 0)) as listener:
        request = make_read(time.monotonic() + 60)._replace(method="PUT", length=-1)
        local = LocalHall(controller, Client())
        refused = local.serve(["a1-t1"], request, Body(remainder=break_off()), is_spill=False)
    refusal = refused.failure().refusal
    assert (refusal.status, refusal.ran) == (400, Ran.UNKNOWN)
    assert results == []


def test_upload_with_a_broken_chunk_fails_as_a_fault_of_the_target(fleet):
    data = b"11170\r\n" + b"b" * 70_000 + b"\r\nzz\r\n"
    lines = "PUT /s/decks/upload HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n"
    with socket.create_connection((IP, fleet.find_port("a1-e1")), 5.0) as sock:
        sock.sendall(lines.encode() + data)
        assert sock.makefile("rb").readline().split()[1] == b"400"
