"""A test fleet starts on a busy machine as well."""

from __future__ import annotations

import socket
import threading

from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import IP


def answer_late(server, after_s):
    """Accept a first connection without answering it, and answer the second."""
    with server.accept()[0] as first:
        first.settimeout(after_s)
        while first.recv(4096):
            pass  # Until the first caller closes its connection.
    with server.accept()[0] as second:
        second.recv(4096)
        second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


class TestStart:
    def test_start_waits_until_the_platform_answers(self, monkeypatch):
        """The fleet's start failed when the stand-in platform's first answer was late.

        Its port is open some time before its threads serve it, and the first call to it has a
        timeout of one second.  Four tests had set-up errors at a load of 20, and six tests of
        another file at a load of 17:

            PlatformError: The platform did not answer GET /kv/config/head: ReadTimeoutError.
        """
        with Fleet.open() as fleet, socket.create_server((IP, 0)) as server:
            monkeypatch.setattr(fleet, "spawn", lambda *_: None)
            monkeypatch.setattr(fleet, "platform_port", server.getsockname()[1])
            thread = threading.Thread(target=answer_late, args=(server, 5.0))
            thread.start()
            fleet.start_platform()
            thread.join(10.0)
            assert not thread.is_alive()
