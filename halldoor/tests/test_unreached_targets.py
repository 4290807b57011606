"""Entries that are cut off from all targets, and from nothing else, must still serve callers.

Such an entry stayed ready and in the look-ups, tried and ejected target after target, and refused
or lost nearly all requests, while its neighbours had room.
"""

from __future__ import annotations

import asyncio
import math
import time

import pytest

from halldoor.standins.targetlink import Cut
from halldoor.tests.reachkit import ReachFleet

NOTICE_S = 1.0
"""Time after the begin of a cut from which requests must be served, in seconds."""
LEAST_SERVED = 0.98
PER_S = 100.0
"""Requests per second to all entries."""

SOME, MOST, HALL = (0, 1, 5), (0, 1, 2, 3, 4), (0, 3)
"""Entries of six that are cut off: half of them, all but one, and all of a hall."""


STALLED_S = 0.1
"""Stall of the test's own process that voids a round of probes, in seconds."""
ROUND_S = 0.4
"""Duration of a round of probes, which is repeated then, in seconds."""


@pytest.fixture(autouse=True)
def take_forwarded_requests_while_stalled(monkeypatch):
    """Let entries take forwarded requests while the process of the test is stalled.

    An entry whose process stalls refuses them as "full".  Here six gateways share one process, so
    that on a busy machine the entries that are left refused 11 of 211 requests, which were then
    lost at the entries without targets.
    """
    monkeypatch.setattr("halldoor.gateway.forwarded.BUSY_SHARE", math.inf)


async def play(fleet, cut, entries, *, for_s=4.0):
    """Cut entries off while callers send requests.

    Returns
    -------
    tuple of float
        When the cut began, when it must have been noticed, and when it ended.  The time in which
        the process of the test got no processor is added to the second; the cut lasts for
        `for_s - NOTICE_S` beyond it in any case.
    """
    asking = asyncio.ensure_future(fleet.send_requests(per_s=PER_S, for_s=math.inf))
    await asyncio.sleep(1.5)
    began = fleet.now()
    stalls = fleet.kits[0].gateway.stalls
    stalled_s = stalls.measure(began)
    await fleet.set_cut(cut, entries)
    await asyncio.sleep(began + NOTICE_S - fleet.now())
    stalled_s = stalls.measure(fleet.now()) - stalled_s
    noticed = began + NOTICE_S
    if stalled_s > STALLED_S:
        noticed += stalled_s + ROUND_S
    await asyncio.sleep(noticed + for_s - NOTICE_S - fleet.now())
    await fleet.set_cut(None, entries)
    ended = fleet.now()
    await asyncio.sleep(2.0)
    asking.cancel()
    await fleet.finish()
    return began, noticed, ended


@pytest.mark.parametrize("cut", Cut, ids=[cut.name.lower() for cut in Cut])
@pytest.mark.parametrize("entries", [SOME, MOST, HALL], ids=["some", "most", "hall"])
def test_first_tries_fail_at_entries_that_reach_no_target(cut, entries):
    async def check():
        async with ReachFleet.open(entries=6) as fleet:
            began, noticed, ended = await play(fleet, cut, entries)
            others = [i for i in range(6) if i not in entries]
            assert fleet.find_served(entries, since=noticed, until=ended) >= LEAST_SERVED
            assert fleet.find_served(others, since=began, until=ended) >= LEAST_SERVED
            assert fleet.find_served(range(6), since=ended + 1.0) >= LEAST_SERVED
            fleet.assert_rules_held()

    asyncio.run(check())


@pytest.mark.parametrize("cut", Cut, ids=[cut.name.lower() for cut in Cut])
def test_entry_that_stalls_in_each_round_of_probes_never_notices(cut):
    """Rounds in which the process stalled did not count, so that none ever did."""

    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            loop = asyncio.get_running_loop()
            asking = asyncio.ensure_future(fleet.send_requests(per_s=20.0, for_s=math.inf))

            async def stall():
                while True:
                    time.sleep(0.12)
                    await asyncio.sleep(0.18)

            stalling = asyncio.ensure_future(stall())
            await asyncio.sleep(1.0)
            await fleet.set_cut(cut, (0,))
            began = loop.time()
            monitor = fleet.kits[0].gateway.reach.monitor
            await fleet.kits[0].wait(lambda: monitor.loss is not None, limit_s=5.0)
            noticed_s = loop.time() - began
            stalling.cancel()
            asking.cancel()
            await fleet.finish()
            assert noticed_s < 4.0

    asyncio.run(check())
