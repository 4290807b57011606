"""A small store that speaks the protocol of the users' pages, for one process of a script."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from kit2.http import read_request

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases that expire, and watches from a revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "leaseId": lease,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "compacted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        """Wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease: int) -> bool:
        """End a lease, and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)
        return True

    def _expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    async def expire_leases(self) -> None:
        """End leases in time, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            self._expire()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection."""
        try:
            while (call := await read_request(reader)) is not None:
                data = json.loads(call.body) if call.body else {}
                status, result = await self._answer(call.method, call.target, data)
                body = json.dumps(result).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, data: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Run one call; return its status and its answer."""
        self._expire()
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        kind, _, name = parts.path.removeprefix("/").partition("/")
        if kind == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"timestamp": self.revision})
        if kind == "kv-range":
            return 200, self._read_range(query)
        if kind == "kv-watch":
            return 200, await self._watch(query)
        if kind == "kv-txn":
            return self._transact(data)
        if kind == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = data["ttlMs"] / 1000
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"leaseId": lease, "ttlMs": data["ttlMs"]}
        if kind == "kv-keep":
            known = self.leases.get(int(name))
            if known is None:
                return 404, {}
            known[0] = time.monotonic() + known[1]
            return 200, {}
        if kind == "kv-lease-end":
            return (200, {}) if self._end_lease(int(name)) else (404, {})
        return 404, {}

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of the keys with a prefix."""
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        return {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "timestamp": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the events after a revision, as soon as there is one."""
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "timestamp": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Write and remove keys if all of them are as expected."""
        expected = data.get("expectedRev") or []
        for row in expected:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row.get("revision", 0):
                held = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": held}
        writes = data.get("writes") or []
        if any(w.get("leaseId") and w["leaseId"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("leaseId") or 0)
        for key in data.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}
