"""Clients that pipeline downloads and read slowly, at entries whose memory is limited."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path

from kit2.endpoint import Endpoint
from kit2.http import Call
from kit2.store import Store
from kit2.world import (
    CannotRunError,
    Entry,
    Record,
    encode_config,
    encode_endpoint,
    run_case,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IP = "127.0.0.1"
ENDPOINTS, SLOTS, WORK_S = 51, 6, 0.3
ANSWER_BYTES = 540_000
CLIENTS, PIPELINING_CLIENTS, BATCH = 120, 72, 8
DEADLINE_S = 8.24
SLOW_BYTES_PER_S = 128_000
SEGMENT_BYTES, WINDOW_BYTES, READ_BYTES = 1460, 65_536, 16_384
MEMORY_MB = 200
RESTART_S = 0.5
TRAFFIC_S = 95.0
ENDS_ALLOWED = 2
BODY = bytes(ANSWER_BYTES)


class Platform:
    """What the platform does to processes: one over its memory is killed, and started again."""

    def __init__(self, entries: list[Entry], record: Record) -> None:
        self.entries, self.record = entries, record
        self.peaks: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()

    async def watch(self, entry: Entry) -> None:
        """Watch one process until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            assert entry.process is not None
            used_kb = read_own_memory_kb(entry.process.pid)
            self.peaks[entry.name] = max(self.peaks[entry.name], used_kb // 1024)
            if used_kb > MEMORY_MB * 1024:
                self.record.add(f"entry {entry.name} uses {used_kb // 1024} MB of {MEMORY_MB} MB")
                entry.send_signal(signal.SIGKILL)
                entry.process.wait()
            if entry.process.poll() is not None:
                self.ends[entry.name] += 1
                self.record.add(f"entry {entry.name} has ended ({self.ends[entry.name]})")
                await asyncio.sleep(RESTART_S)
                entry.start()

    @property
    def has_fault(self) -> bool:
        """Check whether two processes or more ended by themselves three times."""
        return sum(count > ENDS_ALLOWED for count in self.ends.values()) >= 2


def read_own_memory_kb(pid: int) -> int:
    """Return the anonymous memory of a process, without libraries and what the kernel holds."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    return 0


async def connect(entry: Entry) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with the segments of Ethernet and a small window, as from afar."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, entry.front)
    except OSError:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=READ_BYTES)


async def read_batch(
    reader: asyncio.StreamReader, size: int, *, is_slow: bool, until: float
) -> int:
    """Read answers up to their whole size; return the number of bytes."""
    received = 0
    while received < size and time.monotonic() < until:
        async with asyncio.timeout(until - time.monotonic()):
            piece = await reader.read(READ_BYTES)
        if not piece:
            break
        received += len(piece)
        if is_slow:
            await asyncio.sleep(len(piece) / SLOW_BYTES_PER_S)
    return received


async def send_batches(number: int, entries: list[Entry], record: Record, seen: Counter) -> None:
    """Send batches of downloads until cancelled, one in `DEADLINE_S`.

    A client either pipelines them, and with the trouble reads slowly, or sends them one by one.
    """
    source = random.Random(number)
    pipelines = number < PIPELINING_CLIENTS
    is_slow = pipelines and HAS_TROUBLE
    size = ANSWER_BYTES * (BATCH if pipelines else 1)
    await asyncio.sleep(source.random() * DEADLINE_S)
    batch = 0
    while True:
        batch += 1
        until = time.monotonic() + DEADLINE_S
        entry = source.choice(entries)
        try:
            reader, writer = await connect(entry)
        except OSError:
            seen["connection refused"] += 1
            await asyncio.sleep(0.2)
            continue
        heads = [
            f"GET /scans/{number}-{batch}-{k} HTTP/1.1\r\nHost: archive.example\r\n"
            f"X-Attempt-Id: a{number}-{batch}-{k}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
            for k in range(BATCH)
        ]
        parts = ["".join(heads)] if pipelines else heads
        received = 0
        text = f"client {number}, batch {batch}"
        record.add(f"{text}: {BATCH} to {entry.name}, {'pipelined' if pipelines else 'in turn'}")
        try:
            for part in parts:
                writer.write(part.encode())
                seen["requests sent"] += BATCH // len(parts)
                received += await read_batch(reader, size, is_slow=is_slow, until=until)
            record.add(f"{text}: {received} bytes of answers")
        except TimeoutError:
            record.add(f"{text}: its time is over")
        except ConnectionError:
            seen["connections reset"] += 1
            record.add(f"{text}: connection reset")
        writer.transport.abort()
        await asyncio.sleep(max(0.1, until - time.monotonic()))


async def play(folder: Path, record: Record) -> bool:
    """Play the case; return whether the rule was broken."""
    store = Store()
    await store.start()

    async def work(call: Call) -> bytes:
        """Work on a request."""
        await asyncio.sleep(WORK_S)
        return BODY

    endpoints = [Endpoint(f"i-{n}", SLOTS, work, record) for n in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    spec = {
        "hostname": "archive.example",
        "pathPrefix": "/scans/",
        "kind": "download",
        "service": "licence-desk",
        "targetLatencyMs": 824,
        "priority": 0,
        "maxAttempts": 2,
        "affinity": False,
        "homeRegions": [],
    }
    store.put("op/config", encode_config(1, {"scan-download": spec}, ["licence-desk"]))
    born = int(time.time() * 1000)

    # Heartbeats change only `sequence`, and so change no entry in the store.
    for e in endpoints:
        value = encode_endpoint(
            "licence-desk", e.address, "ams-a", slots=SLOTS, sequence=1, born=born
        )
        store.put(f"servers/{e.name}", value)

    tasks = [asyncio.create_task(store.expire_leases())]
    entries = [
        Entry(f"edge-{n}", "ams-a", IP, store, folder=folder, record=record, memory_mb=MEMORY_MB)
        for n in (1, 2)
    ]
    platform = Platform(entries, record)
    seen: Counter[str] = Counter()
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(4.0)
        tasks += [asyncio.create_task(platform.watch(entry)) for entry in entries]
        record.add(f"{CLIENTS} clients begin; at most {MEMORY_MB} MB for each process")
        tasks += [
            asyncio.create_task(send_batches(n, entries, record, seen)) for n in range(CLIENTS)
        ]
        until = time.monotonic() + TRAFFIC_S
        while time.monotonic() < until and not platform.has_fault:
            await asyncio.sleep(0.1)
        record.add(f"clients saw {dict(seen)}")
        runs = sum(len(e.runs) for e in endpoints)
        record.add(f"runs at endpoints: {runs}")
        if not runs:
            raise CannotRunError("no request reached an endpoint")
        record.add(f"largest memory in MB: {dict(platform.peaks)}; ends: {dict(platform.ends)}")
        if platform.has_fault:
            record.add("Fault: the processes of both machines ended by themselves three times")
        return platform.has_fault
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            entry.kill()


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent, has_trouble=HAS_TROUBLE))
