"""Clients that leave early: does the work for their requests end, and is nothing sent after it?

Two entries, six endpoints, idempotent requests with a body of 100 KB.  In three spells of 4 s, a
part of the clients leaves at half of the latency objective; endpoints that run a request stop when
its connection closes.  The rule GONE is judged by when the clients closed and by what the endpoints
still had half a second later.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit3"))

from world import COULD_NOT_RUN, World, ask, run_case  # noqa: E402

HOST = "a.example"
ROUTE = {
    "name": "deck-read",
    "hostname": HOST,
    "pathPrefix": "/read/",
    "kind": "idempotent",
    "service": "deckreader",
    "timeoutMs": 2500,
    "targetLatencyMs": 886,
    "maxAttempts": 2,
}
DEADLINE_MS = 6644
WORK_S = 1.32
LEAVES_AFTER_S = 0.443
SHARE = 0.3
SPELLS_S, SPELL_S = (2.0, 8.0, 14.0), 4.0
STILL_S = 0.5
BODY = b"x" * 100_000
PER_S = 12.0
DURATION_S = 20.0


async def leave(world: World, entry: str, request: str) -> float:
    """Send a request and leave early; return when the connection was closed."""
    port = world.entries[entry]["front"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"PUT /read/{request} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        + BODY
    )
    await writer.drain()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEAVES_AFTER_S):
            await reader.read(1)
    writer.close()
    closed_at = time.monotonic()
    world.write(f"client {request} at {entry} left")
    return closed_at


async def send_all(world: World, *, has_trouble: bool) -> dict[str, float]:
    """Send the requests at an even rate; return when those clients closed that left."""
    stayed, left = [], {}
    began_at = time.monotonic()
    for n in range(int(DURATION_S * PER_S)):
        entry, request = f"edge-{1 + n % 2}", f"q{n:06d}"
        is_spell = any(at <= n / PER_S < at + SPELL_S for at in SPELLS_S)
        if has_trouble and is_spell and n % 10 < 10 * SHARE:
            left[request] = asyncio.create_task(leave(world, entry, request))
        else:
            call = ask(
                world,
                entry,
                request,
                host=HOST,
                path=f"/read/{request}",
                kind="read",
                deadline_ms=DEADLINE_MS,
                method="PUT",
                body=BODY,
            )
            stayed.append(asyncio.create_task(call))
        await asyncio.sleep(max(0.0, began_at + (n + 1) / PER_S - time.monotonic()))
    results = await asyncio.gather(*stayed)
    world.write(f"{sum(r.status == 200 for r in results)} of {len(results)} that stayed served")
    print(f"{sum(r.status == 200 for r in results)} of {len(results)} that stayed served")
    return {request: await task for request, task in left.items()}


def judge(world: World, left: dict[str, float]) -> int:
    """Return 1 if endpoints still work for too many of the clients that left."""
    late, lasting, still = 0, 0, 0
    runs: dict[str, float] = {}
    ends: dict[str, float] = {}
    lines = world.read_endpoint_log()
    for line in lines:
        request = line["id"]
        if request not in left:
            continue
        if line["what"] == "arrived" and line["at"] > left[request] + STILL_S:
            late += 1
        if line["what"] == "run":
            runs[request] = line["at"]
        if line["what"] in ("done", "dropped"):
            ends[request] = line["at"]
    for request, closed_at in left.items():
        if request in runs and runs[request] + WORK_S > closed_at + STILL_S:
            lasting += 1
            still += ends.get(request, float("inf")) > closed_at + STILL_S
    is_broken = late > 5 or (lasting >= 8 and still > lasting / 4)
    for text in (
        f"{len(left)} clients left; {late} of their requests arrived {STILL_S} s later or more",
        f"of {lasting} runs that would have lasted so long, {still} went on {STILL_S} s later",
        "GONE broken" if is_broken else "GONE held",
    ):
        world.write(text)
        print(text)
    if not any(line["what"] == "done" for line in lines):
        print("no request reached an endpoint")
        return COULD_NOT_RUN
    return int(is_broken)


async def play(world: World) -> int:
    """Play the case; return the exit status."""
    world.start_store()
    await world.wait_for_store()
    world.start_endpoints(
        [
            {
                "id": f"i-deck-{i}",
                "service": "deckreader",
                "zone": "ams-a" if i < 3 else "ams-b",
                "slots": 6,
                "work_s": WORK_S,
            }
            for i in range(6)
        ]
    )
    await world.write_config([ROUTE], ["deckreader"])
    world.start_entry("edge-1", "ams-a")
    world.start_entry("edge-2", "ams-b")
    if not await world.wait_until_ready():
        print("the entries did not get ready")
        return COULD_NOT_RUN
    await asyncio.sleep(3.0)
    left = await send_all(world, has_trouble=os.environ.get("TROUBLE") != "0")
    return judge(world, left)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
