"""Tests of what must not be taken for the loss of all targets, and of rules across the hop.

Forwarding for the wrong reason would double the load of the entries that have room, and a request
that travels twice could run twice or circle between entries that disagree.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from types import SimpleNamespace
from unittest import mock

import pytest

from halldoor.core.explaining.history import explain_request, parse_lines
from halldoor.core.targets.peers import ForwardingSettings
from halldoor.gateway.forwarded import BUSY_PERIOD_S, ForwardedRequests
from halldoor.gateway.headers import FORWARDED_BY, find
from halldoor.standins.targetlink import Cut
from halldoor.tests.gatewaykit import NAMES
from halldoor.tests.reachkit import ReachFleet

ALL = tuple(range(6))


def count_forwarded(fleet, direction="sent"):
    """Count the requests that entries forwarded, or received from others, by outcome."""
    prefix = f'halldoor_forwarded_requests{{direction="{direction}",outcome="'
    counts = {}
    for kit in fleet.kits:
        for line in kit.gateway.metrics.render().decode().splitlines():
            if line.startswith(prefix):
                outcome = line.removeprefix(prefix).partition('"')[0]
                counts[outcome] = counts.get(outcome, 0) + int(float(line.split()[-1]))
    return counts


def list_lost(fleet):
    """List the entries that believe that they reach no target."""
    return [i for i, kit in enumerate(fleet.kits) if kit.gateway.reach.monitor.loss is not None]


async def lose_targets(fleet, entries, *, cut=Cut.RESET):
    """Cut entries off and send requests until each has noticed."""
    await fleet.set_cut(cut, entries)
    asking = asyncio.ensure_future(fleet.send_requests(per_s=80.0, for_s=30.0, entries=entries))
    await fleet.kits[0].wait(lambda: set(list_lost(fleet)) == set(entries))
    asking.cancel()
    await fleet.finish()


class TestOtherCauses:
    """Failures of others that an entry must not take for the loss of its way to all targets."""

    @pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET, Cut.BREAK])
    @pytest.mark.parametrize("to", ["deck", "ams-a"], ids=["service", "hall"])
    def test_targets_of_one_service_or_hall_are_lost_to_all(self, cut, to):
        async def check():
            async with ReachFleet.open(entries=6) as fleet:
                asking = asyncio.ensure_future(fleet.send_requests(per_s=100.0, for_s=4.0))
                await asyncio.sleep(1.0)
                await fleet.set_cut(cut, ALL, to=to)
                await asking
                await fleet.finish()
                assert list_lost(fleet) == []
                assert count_forwarded(fleet) == {}
                fleet.assert_rules_held()

        asyncio.run(check())

    @pytest.mark.parametrize("stall_s", [0.3, 0.6, 0.9])
    def test_entries_stand_still(self, stall_s):
        async def check():
            async with ReachFleet.open(entries=3) as fleet:
                loop = asyncio.get_running_loop()
                for i in range(3):
                    loop.call_later(0.5 + 1.2 * i, time.sleep, stall_s)
                await fleet.send_requests(per_s=80.0, for_s=4.5)
                await fleet.finish()
                assert count_forwarded(fleet) == {}

        asyncio.run(check())

    def test_callers_with_short_deadlines(self):
        async def check():
            async with ReachFleet.open(entries=2) as fleet:
                for _ in range(60):
                    await asyncio.gather(*(fleet.call(i, deadline_ms=10) for i in range(2)))
                assert list_lost(fleet) == []
                assert count_forwarded(fleet) == {}

        asyncio.run(check())

    def test_targets_are_busy(self):
        """Their answers, to health checks too, take longer than a probe waits."""

        async def check():
            async with ReachFleet.open(entries=2) as fleet:
                fleet.make_slow(0.6)
                await fleet.send_requests(per_s=40.0, for_s=4.0)
                await fleet.finish()
                assert fleet.find_served(range(2), since=0.0) > 0.98
                assert count_forwarded(fleet) == {}

        asyncio.run(check())


def test_all_entries_cut_off_refuse_without_forwarding_in_circles():
    """Each asks others, which refuse at once; no request is taken, so none travels twice.

    Entries pause for a time after a refusal, so offers are compared with the requests that are
    asked for, of which a slow process sends fewer.
    """

    async def check():
        per_s = 100.0
        async with ReachFleet.open(entries=6) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=per_s, for_s=math.inf))
            await asyncio.sleep(1.0)
            await fleet.set_cut(Cut.RESET, ALL)
            began = fleet.now()
            await asyncio.sleep(1.0)
            offered = sum(count_forwarded(fleet).values())
            await asyncio.sleep(2.0)
            offered = sum(count_forwarded(fleet).values()) - offered
            ended = fleet.now()
            await fleet.set_cut(None, ALL)
            returned = fleet.now()
            await asyncio.sleep(2.0)
            asking.cancel()
            await fleet.finish()
            # Those sent just before the end may be served after it.
            calls = fleet.list_calls(ALL, since=began + 1.0, until=ended - 0.3)
            in_cut = [call for call in calls if call.sent_at + call.took_s < ended]
            assert {call.status for call in in_cut} == {503}
            assert max(call.took_s - call.delayed_s for call in calls) < 0.3
            assert offered < 0.5 * per_s * 1.7
            assert fleet.find_served(ALL, since=returned + 1.0) > 0.98
            fleet.assert_rules_held()

    asyncio.run(check())


def test_entry_takes_no_request_that_is_forwarded_a_second_time():
    """It lost its targets after the other entry chose it: it refuses instead of forwarding."""

    async def check():
        async with ReachFleet.open(entries=3) as fleet:
            await lose_targets(fleet, (0, 1))
            await fleet.send_requests(per_s=60.0, for_s=0.5, entries=(0, 1))
            await fleet.finish()
            received = count_forwarded(fleet, "received")
            assert received.get("no target reached", 0) > 0
            forwarded_by = [
                find(r.headers, FORWARDED_BY)
                for target in fleet.targets.values()
                for r in target.received
            ]
            assert set(forwarded_by) == {b""}
            fleet.assert_rules_held()

    asyncio.run(check())


def test_callers_cannot_forward_requests():
    """The field of a caller is neither believed nor sent on."""

    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            extra = [(FORWARDED_BY.decode(), "e1 10.0.0.1")]
            assert await fleet.call(0, extra=extra) == 200
            received = [r for t in fleet.targets.values() for r in t.received]
            assert all(not find(r.headers, FORWARDED_BY) for r in received)
            assert count_forwarded(fleet, "received") == {}

    asyncio.run(check())


@pytest.mark.usefixtures("take_forwarded_requests_while_stalled")
@pytest.mark.parametrize("period_s", [0.4, 1.0])
def test_flapping_cut_costs_no_more_than_one(period_s):
    async def check():
        async with ReachFleet.open(entries=4) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=80.0, for_s=14.0))
            await asyncio.sleep(1.0)
            for _ in range(int(12.0 / (2 * period_s))):
                await fleet.set_cut(Cut.RESET, (0, 1))
                await asyncio.sleep(period_s)
                await fleet.set_cut(None, (0, 1))
                await asyncio.sleep(period_s)
            await asking
            await fleet.finish()
            began = min(call.sent_at for call in fleet.calls)
            # Each loss that is noticed costs requests; the hold grows until it spans the pauses.
            assert fleet.find_served((0, 1), since=began + 6.0) >= 0.95
            assert fleet.find_served((2, 3), since=began) >= 0.98
            fleet.assert_rules_held()

    asyncio.run(check())


@pytest.mark.parametrize("size", [10, 300_000, 2_000_000])
def test_bodies_and_answers_are_forwarded_unchanged(size):
    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            await lose_targets(fleet, (0,))
            body = random.Random(size).randbytes(size)

            async def echo(target, request, writer):
                writer.write(target.build(request, body=request.body))
                await writer.drain()

            for target in fleet.targets.values():
                target.script = lambda r, w, target=target: echo(target, r, w)
            reply = await fleet.kits[0].call(
                method="POST", path="/order/7?x=1", body=body, attempt_id="big", deadline_ms=1500
            )
            assert reply.status == 200
            assert reply.body == body
            assert reply.find(NAMES.signature)
            (request,) = [
                r
                for t in fleet.targets.values()
                for r in t.received
                if find(r.headers, NAMES.attempt_id) == b"big"
            ]
            assert (request.method, request.target) == (b"POST", b"/order/7?x=1")
            assert request.body == body
            assert 0 < int(find(request.headers, NAMES.deadline_ms)) <= 1500

    asyncio.run(check())


def test_forwarded_requests_count_once_for_the_retry_budget():
    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            await lose_targets(fleet, (0,))
            shares = [kit.gateway.retries._get_share("deck") for kit in fleet.kits]
            with (
                mock.patch.object(shares[0], "add_request") as at_first,
                mock.patch.object(shares[1], "add_request") as at_second,
            ):
                for _ in range(10):
                    assert await fleet.call(0, service="deck") == 200
            assert (at_first.call_count, at_second.call_count) == (0, 10)

    asyncio.run(check())


def test_requests_tried_before_they_are_forwarded_earn_retries_twice():
    """Requests that reached no target are forwarded once the loss of all targets is noticed."""

    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            await fleet.set_cut(Cut.HANG, (0,))
            await fleet.send_requests(per_s=60.0, for_s=1.5, entries=(0,))
            await fleet.finish()
            assert count_forwarded(fleet)["200"] > 0
            shares = [s for kit in fleet.kits for s in kit.gateway.retries._shares.values()]
            counted = sum(share.describe(fleet.now())["requests"] for share in shares)
            assert 0 < counted <= len(fleet.calls)

    asyncio.run(check())


def test_explain_leads_from_a_forwarded_request_to_the_other_entry(capfd):
    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            await lose_targets(fleet, (0,))

            async def fail(target, request, writer):
                writer.write(target.build(request, status=b"500 Failed"))

            for target in fleet.targets.values():
                target.script = lambda r, w, target=target: fail(target, r, w)
            await fleet.call(0, service="order", attempt_id="traced")

    asyncio.run(check())
    lines = list(parse_lines(capfd.readouterr().out.splitlines()))
    text = "\n".join(explain_request(lines, "traced"))
    assert "2 entries name it" in text
    assert "Entry e1 answered it" in text
    assert "No target could be reached for" in text
    assert "reach: No target can be reached." in text


def test_full_neighbour_refuses_others_requests_and_serves_its_own():
    async def check():
        settings = {"forwarding": {"max_running": 2}}
        async with ReachFleet.open(entries=2, policy=settings) as fleet:
            await lose_targets(fleet, (0,))
            fleet.make_slow(0.3)
            began = fleet.now()
            await fleet.send_requests(per_s=60.0, for_s=2.0)
            await fleet.finish()
            assert count_forwarded(fleet, "received")["full"] > 0
            assert fleet.find_served((1,), since=began) > 0.98
            fleet.assert_rules_held()

    asyncio.run(check())


def test_caller_that_leaves_ends_the_request_at_the_target():
    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            await lose_targets(fleet, (0,))
            for target in fleet.targets.values():
                target.script = target.hang
            caller = await fleet.kits[0].connect()
            await caller.send(path="/order/9", attempt_id="left", deadline_ms=1500)
            await fleet.kits[0].wait(lambda: fleet.count_runs()["left"] == 1)
            before = sum(target.cancelled for target in fleet.targets.values())
            caller.close()
            await fleet.kits[0].wait(
                lambda: sum(t.cancelled for t in fleet.targets.values()) > before, limit_s=0.5
            )

    asyncio.run(check())


def test_reset_connections_are_not_passed_on_as_crashes_of_targets():
    """All requests in flight lose their targets at once; others would block sound requests."""

    async def check():
        async with ReachFleet.open(entries=2) as fleet:
            fleet.make_slow(0.4)
            asking = asyncio.ensure_future(fleet.send_requests(per_s=60.0, for_s=1.0, entries=(0,)))
            await asyncio.sleep(0.9)
            await fleet.set_cut(Cut.RESET, (0,))
            await asking
            await fleet.finish()
            lines = fleet.kits[0].gateway.metrics.render().decode().splitlines()
            crashes = [line for line in lines if "target ended" in line]
            assert sum(float(line.split()[-1]) for line in crashes) <= 2

    asyncio.run(check())


def test_order_whose_target_broke_is_not_sent_to_another_entry():
    """The entry that it was forwarded to answers 502: it may have run."""

    async def check():
        async with ReachFleet.open(entries=3) as fleet:
            await lose_targets(fleet, (0,))

            async def reset_orders(target, request, writer):
                # Targets that break health checks too would be lost to the other entries.
                script = target.reset if request.target.startswith(b"/order/") else target.work
                await script(request, writer)

            for target in fleet.targets.values():
                target.script = lambda r, w, target=target: reset_orders(target, r, w)
            for number in range(10):
                await fleet.call(0, service="order", attempt_id=f"o{number}")
            runs = fleet.count_runs()
            statuses = {c.attempt_id: c.status for c in fleet.calls if c.attempt_id[0] == "o"}
            # Targets that broke twice are ejected, so that the last orders may be refused.
            assert {(status, runs[name]) for name, status in statuses.items()} <= {
                (502, 1),
                (503, 0),
            }
            assert 502 in statuses.values()

    asyncio.run(check())


def test_entry_whose_process_stalls_takes_no_forwarded_requests():
    """It would delay them, and its own callers' requests, further."""

    class Stalls:
        def __init__(self, share):
            self.share = share

        def measure(self, now):
            return self.share * now

    def make_taker(share):
        unused = SimpleNamespace()
        return ForwardedRequests(
            unused,
            unused,
            SimpleNamespace(loss=None),
            SimpleNamespace(sharers=SimpleNamespace(has_ip=lambda ip: True)),
            names=NAMES,
            settings=ForwardingSettings(),
            stalls=Stalls(share),
            is_ready=lambda: True,
            metrics=unused,
        )

    async def check():
        stalled, sound = make_taker(0.4), make_taker(0.2)
        for taker in (stalled, sound):
            assert taker._find_refusal("127.0.0.1") == ""
        await asyncio.sleep(BUSY_PERIOD_S + 0.05)
        assert stalled._find_refusal("127.0.0.1") == "full"
        assert sound._find_refusal("127.0.0.1") == ""

    asyncio.run(check())
