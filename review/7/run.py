"""Answers without end, in small pieces: does an entry still answer its other callers in time?

Two entries, eight endpoints of two services.  Half of the endpoints give 5 in 100 of
their answers a body that comes in chunks of one byte until the caller closes.  The rule CONFIG is
judged by what the clients see.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit3"))

from world import COULD_NOT_RUN, Result, World, ask, run_case  # noqa: E402

HOST = "a.example"
DEADLINE_MS = 6000
TIMEOUT_MS = 2000
SPELLS_S, SPELL_S = (2.0, 11.0), 5.0
DURATION_S = 20.0
PER_S = 90.0
SHARE_OF_ANSWERS = 0.05
LATE_S = 0.5


def build_endpoints(flag: Path) -> list[dict[str, object]]:
    """Return the rows of the endpoints; those that may be faulty heed the flag."""
    rows: list[dict[str, object]] = []
    for service in ("records-desk", "intake-desk"):
        for i in range(4):
            row: dict[str, object] = {
                "id": f"i-{service}-{i}",
                "service": service,
                "zone": "ams-a" if i < 2 else "ams-b",
                "slots": 6,
                "work_s": 0.1,
            }
            if service == "records-desk" and i % 2 == 0:
                row |= {"flag": str(flag), "endless": SHARE_OF_ANSWERS}
            rows.append(row)
    return rows


def build_routes() -> list[dict[str, object]]:
    """Return the routes."""
    common = {"hostname": HOST, "targetLatencyMs": 800}
    return [
        common
        | {
            "name": "record-download",
            "pathPrefix": "/download/",
            "kind": "download",
            "service": "records-desk",
            "maxAttempts": 2,
        },
        common
        | {
            "name": "crew-closeout",
            "pathPrefix": "/closeout/",
            "kind": "non_idempotent",
            "service": "intake-desk",
            "timeoutMs": TIMEOUT_MS,
            "maxAttempts": 2,
        },
    ]


async def send_all(world: World) -> list[Result]:
    """Send both kinds by turns, at an even rate, and await the answers."""
    tasks = []
    began_at = time.monotonic()
    for n in range(int(DURATION_S * PER_S)):
        kind = "download" if n % 2 else "closeout"
        tasks.append(
            asyncio.create_task(
                ask(
                    world,
                    f"edge-{1 + n // 2 % 2}",
                    f"q{n:06d}",
                    host=HOST,
                    path=f"/{kind}/{n}",
                    kind=kind,
                    deadline_ms=DEADLINE_MS,
                    method="DELETE" if kind == "closeout" else "GET",
                )
            )
        )
        await asyncio.sleep(max(0.0, began_at + (n + 1) / PER_S - time.monotonic()))
    return await asyncio.gather(*tasks)


def judge(world: World, results: list[Result]) -> int:
    """Return 1 if more than half of the requests past their route's time stay unanswered."""
    unanswered, still = [], []
    for result in results:
        waited_s = (result.begun_at or result.ended_at) - result.sent_at
        if result.kind == "closeout" and waited_s > TIMEOUT_MS / 1000:
            unanswered.append(result)
            if waited_s > TIMEOUT_MS / 1000 + LATE_S:
                still.append(result)
    lines = world.read_endpoint_log()
    endless = sum(line["what"] == "endless" for line in lines)
    longest_s = max((r.begun_at or r.ended_at) - r.sent_at for r in results)
    is_broken = len(still) >= 8 and len(still) > len(unanswered) / 2
    for text in (
        f"{len(results)} requests, {endless} answers without end",
        f"statuses: {dict(Counter((r.kind, r.status) for r in results))}",
        f"longest wait for the head of an answer: {longest_s:.2f} s",
        f"unanswered at timeoutMs: {len(unanswered)}; {LATE_S} s later: {len(still)}",
        "CONFIG broken" if is_broken else "CONFIG held",
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
    world.start_endpoints(build_endpoints(world.flag))
    await world.write_config(build_routes(), ["records-desk", "intake-desk"])
    world.start_entry("edge-1", "ams-a")
    world.start_entry("edge-2", "ams-b")
    if not await world.wait_until_ready():
        print("the entries did not get ready")
        return COULD_NOT_RUN
    await asyncio.sleep(3.0)
    spells = asyncio.create_task(
        world.make_spells(SPELLS_S if os.environ.get("TROUBLE") != "0" else (), SPELL_S)
    )
    results = await send_all(world)
    await spells
    return judge(world, results)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
