"""Answers that end within their head or body are never taken for whole ones.

The end of the stream was taken for the end of the head: 64 of 81 prefixes of a head were read as a
whole 200 with an empty body.
"""

import contextlib
import json
import socket
import struct
import threading
import time

import pytest
from returns.result import Failure

from halldoor.admin.service import Administration
from halldoor.cli import operator
from halldoor.cli.fleet import fetch_fleet
from halldoor.core.errors import PlatformError, Ran, Reason
from halldoor.core.settings import Address
from halldoor.core.steering.configuration import EntryHost, Target
from halldoor.entry.local import LocalHall
from halldoor.entry.probe import ProbeTask
from halldoor.entry.request import Body, RequestError
from halldoor.entry.targets import Fault, TargetClient, TargetFault
from halldoor.keyvalue.base import UncertainWriteError
from halldoor.keyvalue.client import HttpPlatform
from halldoor.tests.test_room import build_controller, make_read

DATE = b"Date: Sat, 05 Dec 2026 04:00:00 GMT\r\n"
BODY = b"x" * 30
LENGTH_HEAD = b"HTTP/1.1 200 OK\r\n" + DATE + b"Content-Length: 30\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + DATE + b"\r\n"
UNBOUNDED_HEAD = b"HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n" + DATE + b"\r\n"
FORMS = {
    "length": (LENGTH_HEAD, BODY),
    "empty": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
    "no content": (b"HTTP/1.1 204 No Content\r\n" + DATE + b"\r\n", b""),
    "bare newlines": (LENGTH_HEAD.replace(b"\r\n", b"\n"), BODY),
    "after continue": (b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH_HEAD, BODY),
    "after hints": (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + LENGTH_HEAD, BODY),
    "chunked": (CHUNKED_HEAD, b"0F\r\n" + BODY[:15] + b"\r\nf\r\n" + BODY[15:] + b"\r\n0\r\n\r\n"),
    "trailer": (CHUNKED_HEAD, b"1e\r\n" + BODY + b"\r\n0\r\nDigest: x\r\n\r\n"),
    "unbounded": (UNBOUNDED_HEAD, BODY),
    "unbounded and empty": (UNBOUNDED_HEAD, b""),
}


class CuttingServer:
    """Server that answers each request with given bytes, and then closes or resets."""

    def __init__(self):
        self.data, self.does_reset, self.requests = b"", False, []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        self.address = Address("127.0.0.1", self.port)
        self.url = f"http://{self.address}"

    def __enter__(self):
        threading.Thread(target=self._run, daemon=True).start()
        return self

    def __exit__(self, *_):
        self._listener.close()

    def _run(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with contextlib.suppress(OSError), sock:
                sock.settimeout(5)
                request = b""
                has_body = False
                while not request.endswith(b"body" if has_body else b"\r\n\r\n"):
                    request += sock.recv(65_536)
                    has_body = b"Content-Length: 4" in request
                self.requests.append(request)
                sock.sendall(self.data)
                if self.does_reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@pytest.fixture
def server():
    with CuttingServer() as running:
        yield running


def send(server, method, *, is_repeatable=True):
    """Send one request to the server; return the answer's status and body."""
    request = make_read(time.monotonic() + 5)._replace(method=method, is_repeatable=is_repeatable)
    body = Body(b"body" if method == "POST" else b"")
    target = Target(name="t", hall="h", address=server.address, slots=4)
    answer, _ = TargetClient().send(target, request, body, may_send=lambda: True)
    return answer.status, b"".join(answer)


def is_whole(server, method, **options):
    """Check whether an answer is read as a whole one; a broken one may have run."""
    try:
        send(server, method, **options)
    except TargetFault as exc:
        assert exc.fault is Fault.MAYBE_RAN
        return False
    except RequestError as exc:
        assert exc.refusal.ran == Ran.UNKNOWN
        return False
    return True


@pytest.mark.parametrize("does_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("form", FORMS)
def test_cut_answer_is_read_as_whole(server, form, method, does_reset):
    head, body = FORMS[form]
    has_body = method != "HEAD" and body
    data = head + body if has_body else head
    # A body without a length ends with the connection, so only its head can be seen to be cut.
    is_bounded = not form.startswith("unbounded") and has_body
    server.does_reset = does_reset
    read_as_whole = []
    for size in range(len(data) if is_bounded else len(head)):
        server.data = data[:size]
        if is_whole(server, method, is_repeatable=method != "POST"):
            read_as_whole.append(data[:size])
    assert read_as_whole == []
    server.data, server.does_reset = data, False
    status = 204 if form == "no content" else 200
    assert send(server, method) == (status, BODY if has_body else b"")


def test_long_answer_cut_anywhere_is_read_as_whole(server):
    long = b"y" * 300_000
    head = LENGTH_HEAD.replace(b"30", b"300000")
    for size in (len(head) - 1, len(head), len(head) + 1, len(head) + 131_072, len(head) + 299_999):
        server.data = (head + long)[:size]
        assert not is_whole(server, "GET")
    server.data = head + long
    assert send(server, "GET") == (200, long)


@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length: 3x",
        b"Content-Length: -1",
        b"Content-Length: " + b"9" * 5000,
        b"Content-Length: 30\r\nContent-Length: 31",
        b"no header\r\nContent-Length: 40",
        b"Transfer-Encoding: gzip, chunked",
    ],
)
def test_answer_with_an_odd_length_ends_with_its_connection(server, line):
    """Its body was read up to the end of the connection, so that a cut was not seen."""
    server.data = b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n" + BODY
    assert not is_whole(server, "GET")


@pytest.mark.parametrize("status", [b"100 Continue", b"103 Early Hints"])
def test_informational_answers_are_read_without_end(server, status):
    informational = b"HTTP/1.1 " + status + b"\r\n\r\n"
    server.data = informational * 16 + LENGTH_HEAD + BODY
    assert send(server, "GET") == (200, BODY)
    server.data = informational * 17 + LENGTH_HEAD + BODY
    assert not is_whole(server, "GET")


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_request_whose_answer_is_cut_ends_as_served(server, is_repeatable):
    """A repeatable one fails over, and one that runs at most once ends as "outcome unknown"."""
    with CuttingServer() as sound:
        server.data, sound.data = LENGTH_HEAD[:60], LENGTH_HEAD + BODY
        controller = build_controller(targets=2)
        names = ["a1-t1", "a1-t2"]
        addresses = dict(zip(names, (server.address, sound.address), strict=True))

        class Client(TargetClient):
            def send(self, target, request, body, *, may_send):
                moved = Target(name=target.name, hall="a1", address=addresses[target.name], slots=4)
                return super().send(moved, request, body, may_send=may_send)

        local = LocalHall(controller, Client())
        request = make_read(time.monotonic() + 5)._replace(is_repeatable=is_repeatable)
        first = controller.admit(names[:1], until=request.deadline).unwrap()
        result = local.send_admitted(first, names, request, Body(), is_spill=False)
        if is_repeatable:
            assert b"".join(result.unwrap()) == BODY
        else:
            assert isinstance(result, Failure)
            refusal = result.failure().refusal
            assert (refusal.ran, refusal.reason) == (Ran.UNKNOWN, Reason.BROKEN)
            assert sound.requests == []


class TestOtherClients:
    """A head cut short before its length, as an answer to each other client of HTTP."""

    @pytest.fixture(autouse=True)
    def cut(self, server):
        server.data = b"HTTP/1.1 200 OK\r\nPlatform-Version: 7\r\nServer: st"

    def test_key_value_service(self, server):
        platform = HttpPlatform(server.url)
        for call in (
            lambda: platform.get("k"),
            lambda: platform.watch("k", after=0, timeout_s=0.1),
            lambda: platform.create_lease(1.0),
            lambda: platform.renew_lease("1"),
            platform.list_hosts,
        ):
            with pytest.raises(PlatformError):
                call()
        with pytest.raises(UncertainWriteError):
            platform.put("k", b"body", expected=0)

    def test_health_probe(self, server):
        server.data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r"
        seen = []

        class Controller:
            def record_health(self, name, *, is_healthy, is_leaving, load):
                seen.append(is_healthy)

            def mark_cold(self, name):
                pass

        probe = ProbeTask(
            "e1",
            Controller(),
            platform=None,
            list_alive=list,
            is_relay=lambda: False,
            period_s=1.0,
        )
        target = Target(name="t", hall="h", address=server.address, slots=4)
        for _ in range(2):
            probe._probe(target)
        assert seen == [True, False]

    def test_administration(self, server):
        entry = EntryHost(name="e1", http=server.address, wire=server.address)
        found = Administration(None, bootstrap_sha256="")._fetch_status(entry)
        assert found["state"] == "unreachable"

    def test_operators_commands(self, server, monkeypatch):
        server.data = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        monkeypatch.setenv(operator.API_VARIABLE, server.url)
        with pytest.raises(SystemExit) as ended:
            operator._call("GET", "status")
        assert ended.value.code == operator.UNREACHABLE
        (view,) = fetch_fleet([str(server.address)])
        assert not view.is_reached


def test_sound_answers_reach_each_other_client(server):
    server.data = b"HTTP/1.1 200 OK\r\nPlatform-Version: 7\r\nContent-Length: 2\r\n\r\n[]"
    assert HttpPlatform(server.url).get("k") == (b"[]", 7)
    assert json.loads(server.data[-2:]) == HttpPlatform(server.url).list_hosts()
    assert fetch_fleet([str(server.address)])[0].is_reached
