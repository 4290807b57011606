"""The HTTP server for WSGI applications, and clients that don't send what they announced."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from halldoor import server as server_module
from halldoor.core.settings import Address
from halldoor.server import HttpServer
from halldoor.standins.sample import IP

ANSWER = b"answer"
SIZE = 1_000_000
ANNOUNCED, CHUNKED = b"Content-Length: %d\r\n" % SIZE, b"Transfer-Encoding: chunked\r\n"


def answer_unread(environ, start):
    """Answer without reading the body."""
    start("200 OK", [("Content-Length", str(len(ANSWER)))])
    return [ANSWER]


def answer_read(environ, start):
    """Answer after reading the body."""
    while environ["wsgi.input"].read(65_536):
        pass
    return answer_unread(environ, start)


@contextlib.contextmanager
def serve(app, **options):
    server = HttpServer(Address(IP, 0), app, **options)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join()


@contextlib.contextmanager
def connect(server):
    with socket.create_connection((IP, server.port), 10.0) as sock:
        yield sock


def build_request(framing=b""):
    return b"POST /x HTTP/1.1\r\nHost: entry.example\r\n" + framing + b"\r\n"


def read_answer(sock):
    """Read an answer of the app; return its status, 0 if the connection ended before."""
    data = b""
    while not data.endswith(ANSWER):
        piece = sock.recv(65_536)
        if not piece:
            return 0
        data += piece
    return int(data[9:12])


@pytest.mark.parametrize("framing", [ANNOUNCED, CHUNKED])
def test_early_answer_is_delivered_and_the_connection_closed(framing):
    """The rest of a body was read first, or taken for requests."""
    with serve(answer_unread) as server, connect(server) as sock:
        sock.sendall(build_request(framing))
        assert read_answer(sock) == 200
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            sock.sendall(build_request() * 3)
            assert sock.recv(65_536) == b""


def test_answer_is_delivered_while_the_client_sends():
    with serve(answer_unread) as server, connect(server) as sock:
        sock.sendall(build_request(ANNOUNCED))
        sock.sendall(b"x" * (SIZE - 1))
        assert read_answer(sock) == 200


def test_unread_body_that_has_arrived_keeps_the_connection():
    with serve(answer_unread) as server, connect(server) as sock:
        for _ in range(3):
            sock.sendall(build_request(b"Content-Length: 5\r\n") + b"abcde")
            assert read_answer(sock) == 200


@pytest.mark.parametrize("is_chunked", [False, True])
def test_requests_follow_on_a_connection(is_chunked):
    framing = CHUNKED if is_chunked else b"Content-Length: 5\r\n"
    body = b"5\r\nabcde\r\n0\r\n\r\n" if is_chunked else b"abcde"
    with serve(answer_read) as server, connect(server) as sock:
        for _ in range(3):
            sock.sendall(build_request(framing) + body)
            assert read_answer(sock) == 200


@pytest.mark.parametrize("sent", [b"", b"POST /x HT", build_request(b"Content-Length: 9\r\n")])
def test_clients_without_progress_yield_to_others(sent):
    with serve(answer_read, threads=2) as server, contextlib.ExitStack() as stack:
        for _ in range(6):
            stack.enter_context(connect(server)).sendall(sent)
        time.sleep(1.2)
        with connect(server) as sock:
            sock.sendall(build_request())
            assert read_answer(sock) == 200


def test_client_that_is_alone_may_pause():
    with serve(answer_read, threads=2) as server, connect(server) as sock:
        for piece in (build_request(b"Content-Length: 2\r\n"), b"a", b"b"):
            sock.sendall(piece)
            time.sleep(1.2)
        assert read_answer(sock) == 200


def test_connection_without_a_descriptor_is_rejected(monkeypatch):
    monkeypatch.setattr(server_module, "find_descriptor_end", lambda share: 0)
    with serve(answer_read) as server, connect(server) as sock:
        sock.sendall(build_request())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 503 ")
