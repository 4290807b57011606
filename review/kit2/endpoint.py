"""An endpoint with slots and a short queue that answers with bodies of a given size."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from kit2.http import Call, read_request
from kit2.world import Record

Handler = Callable[[Call], Awaitable[bytes]]
QUEUE_LIMIT = 18
UNREAD_LIMIT_S = 5.0


class Endpoint:
    """An endpoint at a free loopback port.

    `work` returns the body of the answer to a request that it runs; `find_break` the number of
    bytes of an answer after which it breaks it off, None for none.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        work: Handler,
        record: Record,
        find_break: Callable[[], int | None] = lambda: None,
    ) -> None:
        self.name, self.slots, self.work, self.record = name, slots, work, record
        self.find_break = find_break
        self.broken: dict[str, float] = {}
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.address = ("", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection; cut off an answer that stays unread for long."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError, TimeoutError):
            while (call := await read_request(reader)) is not None:
                await self._answer(call, writer)
                async with asyncio.timeout(UNREAD_LIMIT_S):
                    await writer.drain()
        writer.transport.abort()

    def _build(self, status: str, call: Call, body: bytes, *fields: str) -> bytes:
        """Build an answer."""
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Attempt-Id: {call.headers.get('x-attempt-id', '')}",
            f"X-Instance-Id: {self.name}",
            f"X-Backend-Load: {self.running},{self.waiting},{self.slots}",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if call.target == "/health":
            writer.write(self._build("200 OK", call, b""))
            return
        if call.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(self._build("421 Misdirected", call, b""))
            return
        if self.waiting >= QUEUE_LIMIT:
            writer.write(self._build("503 Full", call, b"", "X-Not-Executed: 1"))
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            attempt = call.headers["x-attempt-id"]
            self.runs[attempt] = self.record.now()
            try:
                body = await self.work(call)
            finally:
                self.running -= 1
        signature = f"X-Response-Signature: {self.name}.{attempt}"
        answer = self._build("200 OK", call, body, signature)
        size = self.find_break()
        if size is None:
            writer.write(answer)
            self.answered[attempt] = self.record.now()
            return
        writer.write(answer[:size])
        await writer.drain()
        await asyncio.sleep(0.05)
        self.broken[attempt] = self.record.now()
        self.record.add(f"endpoint {self.name} breaks off its answer to {attempt} after {size}")
        raise ConnectionResetError
