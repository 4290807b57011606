"""Notices of withdrawn targets: entries that lag behind the store stop sending to them, too."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.changes import TargetGone, TargetSeen, TargetStart
from halldoor.core.targets.withdrawal import HOLD_S, HOLDS_MOST, StoreNotice, StoreView
from halldoor.tests.choicekit import hear_store_return, make_catalog, make_target
from halldoor.tests.gatewaykit import GatewayKit
from halldoor.tests.ratekit import RateFleet

SPREAD_S = 1.0
"""Time after which no entry sends to a target that the store withdrew, in seconds."""
FAR = StoreView("1", 9)


def silence_watches(fleet, entries):
    """Make the watches of some entries never return; other calls to the store are answered."""

    async def bring_nothing(*_, **__):
        await asyncio.Event().wait()

    for i in entries:
        fleet.links[i].watch = bring_nothing


def configure(fleet, *, version):
    kit = GatewayKit({}, fleet.store)
    kit.service, kit.version = fleet.service, version - 1
    kit.configure()


@pytest.mark.parametrize("entries", [6, 10])
@pytest.mark.parametrize("is_removed", [False, True])
def test_entries_with_silent_watches_send_to_a_withdrawn_target(entries, is_removed):
    """Fault: watches never return while lease renewals are answered, so that all looks healthy."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.ask(per_s=150.0, for_s=5.0))
            await asyncio.sleep(0.5)
            silence_watches(fleet, range(1, entries))
            for kit in fleet.kits[1:]:
                kit.gateway.sync.renew_watch("test")
            await asyncio.sleep(0.5)
            leaving = fleet.targets[0]
            if is_removed:
                fleet.store.remove("targets/t0")
            else:
                fleet.write_target(leaving, is_draining=True)
            since = fleet.now() + SPREAD_S
            await asking
            assert leaving.count_most(since=since, window_s=60.0) == 0
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


def test_an_entry_whose_watch_is_silent_misses_a_configuration():
    """An entry that is notified of a newer revision must open another watch."""

    async def check():
        async with RateFleet.open(entries=3, targets=1) as fleet:
            await asyncio.sleep(1.0)  # Wait until the pause after a change is over.
            watch, link = fleet.links[1].watch, fleet.links[1]
            silence_watches(fleet, [1])
            kit = fleet.kits[1]
            kit.gateway.sync.renew_watch("test")
            await asyncio.sleep(0.2)
            link.watch = watch  # New connections work.
            version = kit.gateway.catalog.configuration_version + 1
            configure(fleet, version=version)
            catalog = kit.gateway.catalog
            await kit.wait(lambda: catalog.configuration_version == version, limit_s=2.0)

    asyncio.run(check())


class TestCatalog:
    """The catalog's state of a target that another entry's notice withdrew."""

    @pytest.fixture
    def catalog(self):
        catalog = make_catalog(targets=2)
        assert catalog.withdraw(TargetStart("t0", 0), FAR, until=HOLD_S)
        return catalog

    def list_usable(self, catalog):
        return {target.name for target in catalog.list_usable("deck")}

    def test_it_is_not_used(self, catalog):
        assert self.list_usable(catalog) == {"t1"}
        assert not catalog.can_send("t0")

    @pytest.mark.parametrize("revision", [7, 8])
    def test_an_older_record_does_not_take_it_back(self, catalog, revision):
        catalog.apply(TargetSeen(make_target("t0")), 1.0)
        assert catalog.release_withdrawn(StoreView("1", revision), 1.0) == []
        assert self.list_usable(catalog) == {"t1"}

    def test_the_own_view_decides_once_it_has_reached_the_notice(self, catalog):
        assert catalog.release_withdrawn(StoreView("1", 9), 1.0) == [TargetStart("t0", 0)]
        assert self.list_usable(catalog) == {"t0", "t1"}

    def test_the_own_view_may_say_so_too(self, catalog):
        catalog.apply(TargetSeen(make_target("t0")._replace(is_draining=True)), 1.0)
        assert catalog.release_withdrawn(StoreView("1", 9), 1.0) == []
        assert self.list_usable(catalog) == {"t1"}
        assert catalog.take_withdrawn() == []

    def test_it_ends_where_the_own_view_never_gets_there(self, catalog):
        assert catalog.release_withdrawn(StoreView("1", 7), HOLD_S - 0.1) == []
        assert catalog.release_withdrawn(StoreView("1", 7), HOLD_S) == [TargetStart("t0", 0)]

    def test_a_later_copy_of_the_store_decides_by_itself(self, catalog):
        assert catalog.release_withdrawn(StoreView("2", 3), 1.0) == [TargetStart("t0", 0)]

    def test_the_next_start_is_used(self, catalog):
        record = make_target("t0")
        catalog.apply(TargetSeen(record._replace(started_ms=5)), 1.0)
        assert catalog.release_withdrawn(StoreView("1", 9), 1.0) == [TargetStart("t0", 0)]
        assert catalog.withdraw(TargetStart("t0", 5), StoreView("1", 12), until=HOLD_S)
        catalog.apply(TargetSeen(record._replace(started_ms=7)), 1.0)
        assert self.list_usable(catalog) == {"t0", "t1"}
        assert catalog.release_withdrawn(StoreView("1", 12), 1.0) == []

    @pytest.mark.parametrize(("name", "known"), [("t9", []), ("t1", [3])])
    def test_a_record_that_comes_after_the_notice_makes_it_usable(self, catalog, name, known):
        # Regression: notices of targets, or of starts, that the entry didn't know were dropped.
        for started_ms in known:
            catalog.apply(TargetSeen(make_target(name)._replace(started_ms=started_ms)), 0.5)
        start = TargetStart(name, 5)
        assert not catalog.withdraw(start, FAR, until=HOLD_S)
        catalog.apply(TargetSeen(make_target(name)._replace(started_ms=5)), 1.0)
        assert not catalog.can_send(name)
        assert start in catalog.release_withdrawn(FAR, 1.0)
        assert catalog.can_send(name)

    def test_the_own_view_may_take_the_removal_for_a_lapse(self, catalog):
        hear_store_return(catalog, 10.0)
        catalog.apply(TargetGone("t0"), 10.0)
        assert catalog.release_withdrawn(StoreView("1", 9), 10.0) == [TargetStart("t0", 0)]
        assert "t0" in catalog.lapsed
        assert self.list_usable(catalog) == {"t0", "t1"}


def test_notices_of_unknown_targets_are_held_without_a_bound():
    """Notices may name any target; beyond the bound, those of known targets still work."""
    catalog = make_catalog(targets=2)
    for i in range(HOLDS_MOST + 10):
        catalog.withdraw(TargetStart(f"x{i}", 0), FAR, until=HOLD_S)
    assert catalog.withdraw(TargetStart("t0", 0), FAR, until=HOLD_S)
    assert not catalog.can_send("t0")
    assert catalog.count_withdrawals() <= HOLDS_MOST + 1
    assert catalog.release_withdrawn(FAR, 1.0) == [TargetStart("t0", 0)]
    assert catalog.count_withdrawals() == 0


class TestNews:
    """An entry announces each target that the store's records withdrew, once."""

    def test_a_target_that_drains_and_then_goes_is_announced_once(self):
        catalog = make_catalog(targets=2)
        draining = TargetSeen(make_target("t0")._replace(is_draining=True))
        catalog.apply(draining, 1.0)
        catalog.apply(draining, 2.0)
        catalog.apply(TargetGone("t0"), 3.0)
        catalog.apply(TargetGone("t1"), 3.0)
        assert catalog.take_withdrawn() == [TargetStart("t0", 0), TargetStart("t1", 0)]
        assert catalog.take_withdrawn() == []

    def test_what_lapsed_is_not_announced(self):
        catalog = make_catalog(targets=1)
        hear_store_return(catalog, 10.0)
        catalog.apply(TargetGone("t0"), 10.0)
        assert catalog.find_target("t0") is not None
        assert catalog.take_withdrawn() == []

    def test_what_was_gone_at_the_first_reading_is_not_announced(self):
        catalog = make_catalog(targets=0)
        draining = TargetSeen(make_target("t0")._replace(is_draining=True))
        catalog.load([draining], 1.0)
        assert catalog.take_withdrawn() == []


@pytest.mark.parametrize("age_s", [-1.0, float("nan"), float("inf"), HOLD_S])
def test_a_notice_of_an_impossible_age_is_not_valid(age_s):
    assert not StoreNotice(FAR, age_s, []).is_valid


def test_a_notice_of_too_many_targets_is_not_valid():
    assert not StoreNotice(FAR, 0.0, [TargetStart(f"t{i}", 0) for i in range(17)]).is_valid


def test_a_notice_of_an_endless_era_is_not_valid():
    """Regression: an era with thousands of digits can't be converted to a number."""
    assert not StoreNotice(StoreView("1" * 5000, 9), 0.0, []).is_valid
