"""Targets that state in their answers that they are leaving get no further requests."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.changes import TargetRemoved, TargetSeen
from halldoor.tests.choicekit import make_catalog, make_target
from halldoor.tests.delaykit import read_processor_delay
from halldoor.tests.ratekit import RateFleet

SPREAD_S = 2.0
"""Time after which a leaving target gets no new requests, in seconds."""
IN_PROGRESS_S = 0.5
"""Time after an entry received the statement in which its requests in progress may still arrive, in
seconds."""


def state_leaving(target):
    """Make a target state in each answer that it is leaving."""
    target.extra = [(b"halldoor-leaving", b"1")]


@pytest.mark.parametrize("entries", [6, 10])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_requests_reach_a_target_after_it_said_that_it_leaves(entries, is_isolated):
    """The target's record never says so: the store is out of reach, or refuses its writes."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=150.0, for_s=6.0))
            await asyncio.sleep(1.0)
            fleet.cut(*range(entries), from_others=is_isolated)
            leaving = fleet.targets[0]
            state_leaving(leaving)
            since = fleet.now() + SPREAD_S
            if is_isolated:
                # Nobody can notify these entries: each needs an answer of the target.
                await fleet.send_until_stated(leaving)
                assert len(fleet.stated_at) == entries
                since = max(since, fleet.now() + IN_PROGRESS_S)
            await asking
            assert leaving.count_peak(since=since, window_s=60.0) == 0
            if is_isolated:
                assert fleet.list_sent_after_statement(leaving) == []
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


@pytest.mark.parametrize("per_s", [20.0, 60.0, 150.0])
def test_isolated_entry_sends_requests_after_its_own_answer_said_that_target_leaves(per_s):
    """At any rate; an entry that had no answer since may still send its first request."""

    async def check():
        async with RateFleet.open(entries=10, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=per_s, for_s=6.0))
            await asyncio.sleep(1.0)
            fleet.cut(*range(10), from_others=True)
            leaving = fleet.targets[0]
            state_leaving(leaving)
            await asking
            await fleet.finish_requests()
            assert len(fleet.stated_at) > 1
            assert fleet.list_sent_after_statement(leaving) == []
            for at, entry in leaving.arrivals:
                assert at <= fleet.stated_at.get(entry, at) + IN_PROGRESS_S

    asyncio.run(check())


def test_entries_learn_of_leaving_target_without_own_requests():
    """Without notices they would find out by own requests, or once the target is gone."""

    async def check():
        async with RateFleet.open(entries=6, targets=3) as fleet:
            fleet.cut(*range(6))
            leaving = fleet.targets[0]
            state_leaving(leaving)
            await fleet.send_requests(per_s=60.0, for_s=1.0, entries=[0])
            assert {entry for _, entry in leaving.arrivals} == {"e0"}
            await asyncio.sleep(1.0)
            await fleet.send_requests(per_s=100.0, for_s=1.0)
            assert {entry for _, entry in leaving.arrivals} == {"e0"}

    asyncio.run(check())


def test_requests_are_refused_immediately_if_all_targets_leave():
    async def check():
        async with RateFleet.open(entries=1, targets=2) as fleet:
            for target in fleet.targets:
                state_leaving(target)
            await fleet.send_requests(per_s=60.0, for_s=0.5)
            arrived = sum(len(target.arrivals) for target in fleet.targets)
            caller = await fleet.kits[0].connect()
            began_at, delay_before = fleet.now(), read_processor_delay()
            reply = await caller.call(key="k", deadline_ms=3000)
            assert reply.status == 503
            delayed_s = read_processor_delay() - delay_before
            assert fleet.now() - began_at - delayed_s < 0.1
            assert sum(len(target.arrivals) for target in fleet.targets) == arrived

    asyncio.run(check())


@pytest.mark.parametrize("text", [b"0", b"no", b"-1", b"\xff"])
def test_invalid_leaving_statement_is_ignored(text):
    async def check():
        async with RateFleet.open(entries=1, targets=1) as fleet:
            fleet.targets[0].extra = [(b"halldoor-leaving", text)]
            await fleet.send_requests(per_s=60.0, for_s=0.5)
            assert {status for _, _, status in fleet.statuses} == {200}

    asyncio.run(check())


def test_leaving_statement_of_other_incarnation_is_ignored():
    async def check():
        async with RateFleet.open(entries=1, targets=2) as fleet:
            other = fleet.targets[0]

            async def misdirect(request, writer):
                fields = [(b"halldoor-leaving", b"1")]
                status = b"421 Misdirected Request"
                writer.write(other.build(request, status=status, is_signed=False, extra=fields))

            other.script = misdirect
            catalog = fleet.kits[0].gateway.catalog
            asking = asyncio.ensure_future(fleet.send_requests(per_s=60.0, for_s=10.0))
            await fleet.kits[0].wait(lambda: catalog.find_target("t0") is None)
            asking.cancel()
            assert not catalog.add_leaving("t0", 0)
            fleet.write_target(other, started_ms=5)
            await fleet.kits[0].wait(lambda: catalog.find_target("t0") is not None)
            assert not catalog.find_target("t0").is_draining

    asyncio.run(check())


class TestCatalog:
    """The catalog's state of a target that stated that it is leaving."""

    @pytest.fixture
    def catalog(self):
        catalog = make_catalog(targets=2)
        assert catalog.add_leaving("t0", 0)
        return catalog

    def list_usable(self, catalog):
        return {target.name for target in catalog.list_usable("deck")}

    def test_record_does_not_revoke_leaving(self, catalog):
        catalog.apply(TargetSeen(make_target("t0")), 1.0)
        assert self.list_usable(catalog) == {"t1"}

    def test_returned_record_does_not_revoke_leaving(self, catalog):
        catalog.apply(TargetRemoved("t0"), 1.0)
        catalog.apply(TargetSeen(make_target("t0")), 2.0)
        assert self.list_usable(catalog) == {"t1"}

    @pytest.mark.parametrize("is_restored", [False, True])
    def test_full_read_does_not_revoke_leaving(self, catalog, is_restored):
        changes = [TargetSeen(make_target(name)) for name in ("t0", "t1")]
        catalog.apply_full_read(changes, 1.0, is_restored=is_restored)
        assert self.list_usable(catalog) == {"t1"}

    def test_leaving_does_not_apply_to_next_start(self, catalog):
        record = make_target("t0")
        catalog.apply(TargetSeen(record._replace(started_ms=5)), 1.0)
        catalog.add_leaving("t0", 5)
        catalog.apply(TargetSeen(record._replace(started_ms=7)), 2.0)
        assert self.list_usable(catalog) == {"t0", "t1"}

    def test_removed_record_of_leaving_target_moves_no_key(self, catalog):
        version = catalog.version
        orders = self.list_usable(catalog)
        catalog.apply(TargetRemoved("t0"), 1.0)
        assert self.list_usable(catalog) == orders
        assert catalog.version > version

    def test_notice_of_other_entry_expires(self):
        catalog = make_catalog(targets=2)
        assert catalog.add_leaving("t0", 0, until=30.0)
        assert not catalog.expire_leaving(29.0)
        assert self.list_usable(catalog) == {"t1"}
        assert catalog.expire_leaving(30.0) == ["t0"]
        assert self.list_usable(catalog) == {"t0", "t1"}

    def test_own_answer_makes_notice_of_other_entry_permanent(self):
        catalog = make_catalog(targets=2)
        catalog.add_leaving("t0", 0, until=30.0)
        catalog.add_leaving("t0", 0)
        assert not catalog.expire_leaving(1000.0)
        assert self.list_usable(catalog) == {"t1"}


def test_health_answer_can_state_that_target_leaves():
    """Entries without contact to the store check the health of targets in use."""

    async def check():
        async with RateFleet.open(entries=1, targets=2, health_path="/health") as fleet:
            leaving = fleet.targets[0]
            work = leaving.work

            async def answer(request, writer):
                leaving.extra = [(b"halldoor-leaving", b"1")] * (request.target == b"/health")
                await work(request, writer)

            leaving.script = answer
            fleet.cut(0, from_others=True)
            asking = asyncio.ensure_future(fleet.send_requests(per_s=60.0, for_s=6.0))
            target = fleet.kits[0].gateway.catalog.find_target("t0")
            await fleet.kits[0].wait(lambda: target.is_draining)
            arrived = len(leaving.arrivals)
            await asking
            assert len(leaving.arrivals) <= arrived + 1

    asyncio.run(check())
