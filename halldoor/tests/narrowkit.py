"""Callers on a narrow link, which read answers slowly while more bytes are on their way."""

from __future__ import annotations

import asyncio
import contextlib

from halldoor.gateway.headers import find
from halldoor.tests.gatewaykit import NAMES

DEADLINE_MS = 6000


def build_request(attempt_id, *, method=b"GET", extra=(), deadline_ms=DEADLINE_MS):
    """Build the bytes of a request's head."""
    lines = [
        method + b" /1 HTTP/1.1",
        b"Host: decks.example",
        NAMES.attempt_id + b": " + attempt_id,
        NAMES.deadline_ms + b": %d" % deadline_ms,
        *extra,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Download:
    """An answer as its caller has read it so far.

    Attributes
    ----------
    is_reset : bool
        Whether the connection was reset.
    """

    def __init__(self):
        self.data = b""
        self.is_reset = False

    @property
    def missing(self):
        """Bytes that are missing from the body of the first answer; None without a head."""
        head, mark, body = self.data.partition(b"\r\n\r\n")
        if not mark:
            return None
        fields = [line.split(b": ", 1) for line in head.split(b"\r\n")[1:]]
        length = int(find([(name.lower(), value) for name, value in fields], b"content-length"))
        return max(0, length - len(body))

    async def read(self, sock, *, stall_s=0.0, every_s=0.005):
        """Read the first answer: a part, then nothing for `stall_s`, then the rest."""
        loop = asyncio.get_running_loop()
        while self.missing != 0:
            is_first = not self.data
            try:
                piece = await loop.sock_recv(sock, 4_096 if is_first else 30_000)
            except ConnectionResetError:
                self.is_reset = True
                return
            if not piece:
                return
            self.data += piece
            await asyncio.sleep(stall_s if is_first else every_s)

    async def read_to_end(self, sock):
        """Read until the connection ends."""
        with contextlib.suppress(ConnectionResetError):
            while piece := await asyncio.get_running_loop().sock_recv(sock, 30_000):
                self.data += piece


async def send_on(sock, data, *, after_s=0.0):
    """Send further bytes after a time, unless the connection is closed."""
    await asyncio.sleep(after_s)
    with contextlib.suppress(ConnectionError):
        await asyncio.get_running_loop().sock_sendall(sock, data)


async def stop_and_exit(kit, connections=()):
    """Stop a gateway, and drop what its process still holds, as its exit would.

    Parameters
    ----------
    connections : iterable of CallerConnection, optional
        Connections that are open, beside those of callers that the gateway knows.
    """
    held = {*kit.gateway._callers, *kit.gateway.ports._connections, *connections}
    await kit.gateway.stop()
    for connection in held:
        if connection._transport.get_write_buffer_size():
            connection._transport.abort()
