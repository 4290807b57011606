"""Stand-in for a target whose answers a test scripts byte by byte."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from halldoor.core.settings import Address
from halldoor.gateway.headers import HeaderNames, Headers, find


class Received(NamedTuple):
    """A request as the target read it, with the number of its connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    connection: int


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class ScriptedTarget:
    """A target that records its requests and answers each one with a script.

    Parameters
    ----------
    incarnation : str
        Incarnation that it expects in requests.
    names : HeaderNames
        Names of the headers between gateway and target.
    """

    def __init__(self, incarnation: str, names: HeaderNames) -> None:
        self.incarnation = incarnation
        self.names = names
        self.received: list[Received] = []
        self.cancelled = 0
        self.script: Script = self.answer
        self.read_body = True
        self._connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on the port in ``address``; the kernel chooses one if it is 0."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.address.port)
        self.address = Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the requests of a connection, and run the script for each."""
        self._connections += 1
        number = self._connections
        self._writers.add(writer)
        parser = h11.Connection(h11.SERVER)
        with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
            while (request := await self._read_request(reader, parser, number)) is not None:
                self.received.append(request)
                if not await self._run_script(request, reader, writer):
                    break
                if parser.their_state is not h11.DONE:
                    break
                # The script writes raw bytes, so the parser must be informed of an answer.
                parser.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
                parser.send(h11.EndOfMessage())
                parser.start_next_cycle()
        self._writers.discard(writer)
        writer.close()

    async def _run_script(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run the script for a request; return False if the caller disconnects before its end."""
        script = asyncio.ensure_future(self.script(request, writer))
        while not script.done():
            await asyncio.wait([script], timeout=0.01)
            if reader.at_eof() or writer.is_closing():
                self.cancelled += not script.done()
                script.cancel()
                return False
        await script
        return True

    async def _read_request(
        self, reader: asyncio.StreamReader, parser: h11.Connection, number: int
    ) -> Received | None:
        """Read one request, whole or only its head if ``read_body`` is false."""
        head: h11.Request | None = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                parser.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                head = event
                if not self.read_body:
                    break
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        assert head is not None
        return Received(head.method, head.target, list(head.headers.raw_items()), body, number)

    def build(
        self,
        request: Received,
        *,
        status: bytes = b"200 OK",
        body: bytes = b"answer",
        extra: Headers | None = None,
        attempt_id: bytes | None = None,
        is_signed: bool = True,
        has_length: bool = True,
    ) -> bytes:
        """Build the bytes of an answer."""
        own_id = find(request.headers, self.names.attempt_id)
        fields = [(self.names.attempt_id, own_id if attempt_id is None else attempt_id)]
        if is_signed:
            fields.append((self.names.signature, b"signed-" + self.incarnation.encode()))
        if has_length:
            fields.append((b"Content-Length", str(len(body)).encode()))
        fields += extra or []
        lines = [b"HTTP/1.1 " + status, *(n + b": " + v for n, v in fields), b"", b""]
        return b"\r\n".join(lines) + (b"" if request.method == b"HEAD" else body)

    async def answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Answer successfully at once; answer 421 if another incarnation is expected."""
        expected = find(request.headers, self.names.expected_incarnation).decode()
        if expected and expected != self.incarnation:
            writer.write(self.build(request, status=b"421 Misdirected Request", is_signed=False))
            return
        writer.write(self.build(request, body=b"echo:" + request.body))

    async def shed(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Refuse the request with the header which states that it did not run."""
        extra = [(self.names.not_run, b"1")]
        writer.write(self.build(request, status=b"503 Full", body=b"", extra=extra))

    async def hang(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Never answer."""
        await asyncio.sleep(3600)

    async def reset(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Abort the connection without an answer."""
        writer.transport.abort()

    async def answer_unframed(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Answer without a length, and end the answer by closing the connection."""
        writer.write(self.build(request, body=b"unframed", has_length=False))
        writer.write_eof()
        await asyncio.sleep(0.05)
        raise ConnectionResetError

    async def break_off(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Abort the connection in the middle of the answer."""
        writer.write(self.build(request, body=b"x" * 1000)[:-400])
        await asyncio.sleep(0.02)
        writer.transport.abort()

    async def answer_another(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Send an answer of another request before the request's own answer."""
        writer.write(self.build(request, body=b"stale", attempt_id=b"another"))
        writer.write(self.build(request, body=b"own"))
