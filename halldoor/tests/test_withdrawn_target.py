"""Notices of withdrawn targets: entries that lag behind the store stop sending to them, too."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.changes import TargetRemoved, TargetSeen, TargetStart
from halldoor.core.targets.withdrawal import (
    NOTICES_MAX,
    WITHDRAWAL_NOTICE_S,
    StoreNotice,
    StoreView,
)
from halldoor.tests.choicekit import make_catalog, make_target, record_store_return
from halldoor.tests.gatewaykit import GatewayKit
from halldoor.tests.ratekit import RateFleet

SPREAD_S = 1.0
"""Time after which no entry sends to a target that the store withdrew, in seconds."""
FAR = StoreView("1", 9)


def silence_watches(fleet, entries):
    """Make the watches of some entries never return; other calls to the store are answered."""

    async def never_return(*_, **__):
        await asyncio.Event().wait()

    for i in entries:
        fleet.links[i].watch = never_return


def configure(fleet, *, version):
    kit = GatewayKit({}, fleet.store)
    kit.service, kit.version = fleet.service, version - 1
    kit.configure()


@pytest.mark.parametrize("entries", [6, 10])
@pytest.mark.parametrize("is_removed", [False, True])
def test_entries_with_silent_watches_stop_sending_to_a_withdrawn_target(entries, is_removed):
    """Fault: watches never return while lease renewals are answered, so that all looks healthy."""

    async def check():
        async with RateFleet.open(entries=entries, targets=3) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=150.0, for_s=5.0))
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
            assert leaving.count_peak(since=since, window_s=60.0) == 0
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


def test_entry_with_a_silent_watch_applies_a_new_configuration():
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
        assert catalog.apply_withdrawal_notice(TargetStart("t0", 0), FAR, until=WITHDRAWAL_NOTICE_S)
        return catalog

    def list_usable(self, catalog):
        return {target.name for target in catalog.list_usable("deck")}

    def test_withdrawn_target_is_not_used(self, catalog):
        assert self.list_usable(catalog) == {"t1"}
        assert not catalog.can_send("t0")

    @pytest.mark.parametrize("revision", [7, 8])
    def test_older_record_does_not_make_the_target_usable(self, catalog, revision):
        catalog.apply(TargetSeen(make_target("t0")), 1.0)
        assert catalog.release_reached_withdrawals(StoreView("1", revision), 1.0) == []
        assert self.list_usable(catalog) == {"t1"}

    def test_target_is_usable_once_the_own_view_reached_the_notice(self, catalog):
        assert catalog.release_reached_withdrawals(StoreView("1", 9), 1.0) == [TargetStart("t0", 0)]
        assert self.list_usable(catalog) == {"t0", "t1"}

    def test_target_that_the_own_view_withdrew_too_stays_unusable(self, catalog):
        catalog.apply(TargetSeen(make_target("t0")._replace(is_draining=True)), 1.0)
        assert catalog.release_reached_withdrawals(StoreView("1", 9), 1.0) == []
        assert self.list_usable(catalog) == {"t1"}
        assert catalog.pop_withdrawn() == []

    def test_notice_expires_if_the_own_view_never_reaches_it(self, catalog):
        assert (
            catalog.release_reached_withdrawals(StoreView("1", 7), WITHDRAWAL_NOTICE_S - 0.1) == []
        )
        assert catalog.release_reached_withdrawals(StoreView("1", 7), WITHDRAWAL_NOTICE_S) == [
            TargetStart("t0", 0)
        ]

    def test_notice_ends_with_a_view_of_a_later_copy_of_the_store(self, catalog):
        assert catalog.release_reached_withdrawals(StoreView("2", 3), 1.0) == [TargetStart("t0", 0)]

    def test_next_start_of_a_withdrawn_target_is_usable(self, catalog):
        record = make_target("t0")
        catalog.apply(TargetSeen(record._replace(started_ms=5)), 1.0)
        assert catalog.release_reached_withdrawals(StoreView("1", 9), 1.0) == [TargetStart("t0", 0)]
        assert catalog.apply_withdrawal_notice(
            TargetStart("t0", 5), StoreView("1", 12), until=WITHDRAWAL_NOTICE_S
        )
        catalog.apply(TargetSeen(record._replace(started_ms=7)), 1.0)
        assert self.list_usable(catalog) == {"t0", "t1"}
        assert catalog.release_reached_withdrawals(StoreView("1", 12), 1.0) == []

    @pytest.mark.parametrize(("name", "known"), [("t9", []), ("t1", [3])])
    def test_record_that_arrives_after_its_notice_does_not_make_the_target_usable(
        self, catalog, name, known
    ):
        # Regression: notices of targets, or of starts, that the entry didn't know were dropped.
        for started_ms in known:
            catalog.apply(TargetSeen(make_target(name)._replace(started_ms=started_ms)), 0.5)
        start = TargetStart(name, 5)
        assert not catalog.apply_withdrawal_notice(start, FAR, until=WITHDRAWAL_NOTICE_S)
        catalog.apply(TargetSeen(make_target(name)._replace(started_ms=5)), 1.0)
        assert not catalog.can_send(name)
        assert start in catalog.release_reached_withdrawals(FAR, 1.0)
        assert catalog.can_send(name)

    def test_target_is_usable_if_the_own_view_treats_its_removal_as_expiry(self, catalog):
        record_store_return(catalog, 10.0)
        catalog.apply(TargetRemoved("t0"), 10.0)
        assert catalog.release_reached_withdrawals(StoreView("1", 9), 10.0) == [
            TargetStart("t0", 0)
        ]
        assert "t0" in catalog.lapsed
        assert self.list_usable(catalog) == {"t0", "t1"}


def test_number_of_notices_of_unknown_targets_is_bounded():
    """Notices may name any target; beyond the bound, those of known targets still work."""
    catalog = make_catalog(targets=2)
    for i in range(NOTICES_MAX + 10):
        catalog.apply_withdrawal_notice(TargetStart(f"x{i}", 0), FAR, until=WITHDRAWAL_NOTICE_S)
    assert catalog.apply_withdrawal_notice(TargetStart("t0", 0), FAR, until=WITHDRAWAL_NOTICE_S)
    assert not catalog.can_send("t0")
    assert catalog.count_withdrawals() <= NOTICES_MAX + 1
    assert catalog.release_reached_withdrawals(FAR, 1.0) == [TargetStart("t0", 0)]
    assert catalog.count_withdrawals() == 0


class TestAnnouncements:
    """An entry announces each target that the store's records withdrew, once."""

    def test_target_that_drains_and_is_then_removed_is_announced_once(self):
        catalog = make_catalog(targets=2)
        draining = TargetSeen(make_target("t0")._replace(is_draining=True))
        catalog.apply(draining, 1.0)
        catalog.apply(draining, 2.0)
        catalog.apply(TargetRemoved("t0"), 3.0)
        catalog.apply(TargetRemoved("t1"), 3.0)
        assert catalog.pop_withdrawn() == [TargetStart("t0", 0), TargetStart("t1", 0)]
        assert catalog.pop_withdrawn() == []

    def test_expired_target_is_not_announced(self):
        catalog = make_catalog(targets=1)
        record_store_return(catalog, 10.0)
        catalog.apply(TargetRemoved("t0"), 10.0)
        assert catalog.find_target("t0") is not None
        assert catalog.pop_withdrawn() == []

    def test_target_that_drains_at_the_first_read_is_not_announced(self):
        catalog = make_catalog(targets=0)
        draining = TargetSeen(make_target("t0")._replace(is_draining=True))
        catalog.apply_full_read([draining], 1.0)
        assert catalog.pop_withdrawn() == []


@pytest.mark.parametrize("age_s", [-1.0, float("nan"), float("inf"), WITHDRAWAL_NOTICE_S])
def test_a_notice_of_an_impossible_age_is_not_valid(age_s):
    assert not StoreNotice(FAR, age_s, []).is_valid


def test_a_notice_of_too_many_targets_is_not_valid():
    assert not StoreNotice(FAR, 0.0, [TargetStart(f"t{i}", 0) for i in range(17)]).is_valid


def test_notice_with_too_long_an_era_is_not_valid():
    """Regression: an era with thousands of digits can't be converted to a number."""
    assert not StoreNotice(StoreView("1" * 5000, 9), 0.0, []).is_valid
