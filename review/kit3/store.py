"""A small stand-in of the platform's metadata store, over HTTP/1.1, with the standard library only.

It keeps the items in memory and speaks what PROTOCOL.md says.  The endpoints and the operator write
with ``PUT /outside?key=K`` and ``DELETE /outside?key=K``, which the system never calls.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import sys
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

PAGE_ITEMS = 500
LEASE_TICK_S = 0.05

Answer = tuple[int, dict[str, Any]]


class Store:
    """Items, leases and the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write one item; its value is base64."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "leaseId": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove one item, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "compacted": True})

    def _record(self, event: dict[str, Any]) -> None:
        """Add an event to the history, and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """Remove the items whose lease has run out, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_TICK_S)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease with its items; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)
        return True

    async def call(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer one call with its status and its JSON body."""
        kind, _, name = path.removeprefix("/").partition("/")
        if kind == "outside":
            if method == "PUT":
                self.put(query["key"], base64.b64encode(body).decode())
            else:
                self.remove(query["key"])
            return 200, {"revision": self.revision}
        data = json.loads(body) if body else {}
        if kind == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"timestamp": self.revision})
        if kind == "kv-range":
            return self._range(query.get("pathPrefix", ""), query.get("after", ""))
        if kind == "kv-watch":
            wait_s = int(query["waitMs"]) / 1000
            return await self._watch(query.get("pathPrefix", ""), int(query["after"]), wait_s)
        if kind == "kv-txn":
            return self._transact(data)
        if kind == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = min(600.0, max(1.0, data["ttlMs"] / 1000))
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"leaseId": lease, "ttlMs": round(ttl_s * 1000)}
        if kind == "kv-keep":
            known = self.leases.get(int(name))
            if known is None:
                return 404, {}
            known[0] = time.monotonic() + known[1]
            return 200, {}
        if kind == "kv-lease-end":
            return (200, {}) if self.end_lease(int(name)) else (404, {})
        return 404, {}

    def _range(self, prefix: str, after: str) -> Answer:
        """Answer a page of a range."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "hasMore": more, "timestamp": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Answer:
        """Answer the events after a revision as soon as there is one."""
        if after > self.revision:
            return 410, {}
        until = time.monotonic() + wait_s
        while True:
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "timestamp": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _transact(self, data: dict[str, Any]) -> Answer:
        """Apply a transaction if its conditions hold."""
        rows = data.get("expectedRev") or []
        for row in rows:
            if self.items.get(row["key"], {}).get("revision", 0) != row.get("revision", 0):
                held = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": held}
        writes = data.get("writes") or []
        if any(w.get("leaseId", 0) and w["leaseId"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], write["value"], write.get("leaseId", 0))
        for key in data.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                fields = {}
                for line in head[1:]:
                    key, _, value = line.partition(":")
                    fields[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                status, result = await self.call(method, parts.path, query, body)
                text = json.dumps(result).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        writer.close()


async def main() -> None:
    """Serve at the address IP:PORT of the first argument until the process is ended."""
    ip, _, port = sys.argv[1].rpartition(":")
    store = Store()
    server = await asyncio.start_server(store.serve, ip, int(port), limit=1 << 20)
    async with server:
        await store.expire_leases()


if __name__ == "__main__":
    asyncio.run(main())
