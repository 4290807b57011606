"""Small stand-ins of endpoints, over HTTP/1.1, with the standard library only.

One process runs the endpoints of a JSON file.  Each works on a number of requests at a time, keeps
its entry in the store, and writes each request that it ran into the log, one JSON line each.

An endpoint may be faulty: ``endless`` is the share of its answers that never end, while the file
``flag`` is there.  Such an answer has a sound head, and a body in small chunks that comes until the
caller closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import quote

PIECES_AT_ONCE = 20_000


class Endpoint:
    """One endpoint, with the settings of its row in the file."""

    def __init__(self, row: dict[str, Any], store: str, log: TextIO) -> None:
        self.row, self.store, self.log = row, store, log
        self.slots = asyncio.Semaphore(row["slots"])
        self.running = self.waiting = 0
        self.born = round(time.time() * 1000)
        self.draw = random.Random(row["id"])

    async def run(self) -> None:
        """Serve until cancelled; the entry, whose sequence alone would change, is written once."""
        ip, _, port = self.row["address"].rpartition(":")
        server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 20, backlog=512)
        async with server:
            await self.write_entry()
            await server.serve_forever()

    async def write_entry(self) -> None:
        """Write the entry into the store."""
        info = {key: self.row[key] for key in ("service", "zone", "slots")} | {"version": "v1"}
        status = {"state": "ready", "sequence": 1, "coldLeftMs": 0}
        entry = {
            "address": self.row["address"],
            "info": info,
            "status": status,
            "born": self.born,
        }
        key = quote("servers/" + self.row["id"], safe="")
        await put(self.store, key, json.dumps(entry).encode())

    def note(self, what: str, request: str, **fields: Any) -> None:
        """Write one line into the log."""
        line = {"at": time.monotonic(), "what": what, "id": request, "endpoint": self.row["id"]}
        self.log.write(json.dumps(line | fields) + "\n")
        self.log.flush()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        fields = {}
        for line in head[1:]:
            key, _, value = line.partition(":")
            fields[key.strip().lower()] = value.strip()
        body = b""
        if "chunked" in fields.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
        request = fields.get("x-attempt-id", "")
        load = f"X-Backend-Load: {self.running},{self.waiting},{self.row['slots']}\r\n"
        echo = f"X-Attempt-Id: {request}\r\n" if request else ""
        common = echo + load
        if fields.get("x-expect-instance", self.row["id"]) != self.row["id"]:
            await send(writer, 421, common, b"")
            return True
        if target == "/health":
            await send(writer, 200, common + f"X-Instance-Id: {self.row['id']}\r\n", b"")
            return True
        if self.waiting >= 3 * self.row["slots"]:
            await send(writer, 503, common + "X-Not-Executed: 1\r\n", b"")
            return True
        self.note("arrived", request, method=method, target=target, size=len(body))
        work = asyncio.create_task(self.work(request))
        closing = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.note("dropped", request)
                return False
            return await self.answer(writer, common, request)
        finally:
            closing.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await closing  # Until then the reader can't be read again.
            if not work.cancel():
                self.running -= 1
                self.slots.release()

    async def work(self, request: str) -> None:
        """Wait for a slot, and work on a request; the slot is kept until it is answered."""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.note("run", request)
            await asyncio.sleep(self.row["work_s"])
            self.note("done", request)
        except asyncio.CancelledError:
            self.running -= 1
            self.slots.release()
            raise

    async def answer(self, writer: asyncio.StreamWriter, common: str, request: str) -> bool:
        """Send the answer of a request that was run; return whether the connection stays open."""
        data = hashlib.sha256(request.encode()).hexdigest().encode() * 16
        common += f"X-Response-Signature: {hashlib.md5(data).hexdigest()}\r\n"
        is_faulty = "flag" in self.row and Path(self.row["flag"]).exists()
        if not is_faulty or self.draw.random() >= self.row["endless"]:
            await send(writer, 200, common, data)
            return True
        self.note("endless", request)
        writer.write(f"HTTP/1.1 200 OK\r\n{common}Transfer-Encoding: chunked\r\n\r\n".encode())
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(b"1\r\nx\r\n" * PIECES_AT_ONCE)
                await writer.drain()
        return False


async def send(writer: asyncio.StreamWriter, status: int, fields: str, body: bytes) -> None:
    """Send a whole answer with its length."""
    head = f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()


async def put(store: str, key: str, value: bytes) -> None:
    """Write an item into the store, from outside the system."""
    ip, _, port = store.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = f"PUT /outside?key={key} HTTP/1.1\r\nContent-Length: {len(value)}\r\n\r\n"
    writer.write(head.encode() + value)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def main() -> None:
    """Run the endpoints of the file in the first argument until the process is ended."""
    rows = json.loads(Path(sys.argv[1]).read_text())
    with Path(sys.argv[3]).open("a") as log:
        await asyncio.gather(*(Endpoint(row, sys.argv[2], log).run() for row in rows))


if __name__ == "__main__":
    asyncio.run(main())
