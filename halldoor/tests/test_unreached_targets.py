"""Entries that are cut off from all targets, and from nothing else, must still serve callers.

Such an entry stayed ready and in the look-ups, tried and ejected target after target, and refused
or lost nearly all requests, while its neighbours had room.
"""

from __future__ import annotations

import asyncio
import math
import time
from unittest import mock

import pytest

from halldoor.standins.targetlink import Cut
from halldoor.tests.gatewaykit import HEALTH_PATH, NAMES
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


pytestmark = pytest.mark.usefixtures("take_forwarded_requests_while_stalled")


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


def name_incarnations(fleet, suffix):
    """Let targets name their incarnation, with a suffix, in health answers."""

    async def answer(target, request, writer):
        is_health = request.target == HEALTH_PATH
        incarnation = f"{target.incarnation}{suffix}".encode()
        extra = [(NAMES.incarnation, incarnation)] if is_health else None
        writer.write(target.build(request, extra=extra))

    for target in fleet.targets.values():
        target.script = lambda r, w, target=target: answer(target, r, w)


class TestBlamedInACut:
    """All links break under a request that no target had answered yet."""

    @pytest.mark.parametrize("is_restarted", [False, True])
    def test_request_stays_blocked_after_a_cut_of_all_links(self, is_restarted):
        """Only a target that still runs under its incarnation did not crash."""

        async def check():
            async with ReachFleet.open(entries=3) as fleet:
                name_incarnations(fleet, suffix="-restarted" if is_restarted else "")
                await fleet.set_cut(Cut.BREAK, range(3))
                await fleet.send_requests(per_s=PER_S, for_s=1.0)
                await fleet.finish()
                gateways = [kit.gateway for kit in fleet.kits]
                assert any(g.quarantine.get_figures()["blocked"] for g in gateways)
                await fleet.set_cut(None, range(3))
                # A round of probes, and the probes of the targets that seemed to crash.
                await asyncio.sleep(2.5)
                since = fleet.now()
                await fleet.send_requests(per_s=PER_S, for_s=1.0)
                await fleet.finish()
                served = fleet.find_served(range(3), since=since)
                assert served < 0.1 if is_restarted else served >= LEAST_SERVED

        asyncio.run(check())

    @pytest.mark.parametrize("is_restarted", [False, True])
    def test_sound_request_is_unblocked_by_an_entry_that_reaches_its_targets(self, is_restarted):
        """Entries without links blame targets that others reach."""

        async def check():
            async with ReachFleet.open(entries=2) as fleet:
                quarantine = fleet.kits[0].gateway.quarantine
                with mock.patch.object(quarantine, "admit", wraps=quarantine.admit) as admit:
                    assert [await fleet.call(i, service="deck") for i in range(2)] == [200, 200]
                [request] = admit.call_args.args
                name_incarnations(fleet, suffix="-restarted" if is_restarted else "")
                for target in fleet.kits[0].gateway.catalog.list_targets():
                    if target.name.startswith("deck-"):
                        quarantine.record_crash(request, target)
                assert await fleet.call(0, service="deck") == 503
                await asyncio.sleep(NOTICE_S)
                expected = 503 if is_restarted else 200
                assert [await fleet.call(i, service="deck") for i in range(2)] == [expected] * 2

        asyncio.run(check())
