"""A target that starts again under its name: no state of its earlier start is used."""

from __future__ import annotations

import asyncio

from halldoor.core.targets.changes import TargetGone, TargetSeen
from halldoor.tests.choicekit import hear_store_return, make_catalog, make_target
from halldoor.tests.gatewaykit import GatewayKit


def see(catalog, now=1.0, **changes):
    record = make_target("t0")._replace(**changes)
    return catalog.apply(TargetSeen(record), now)


def is_usable(catalog):
    return "t0" in {t.name for t in catalog.list_usable("deck")}


class TestCatalog:
    def test_draining_ends_with_the_next_start(self):
        catalog = make_catalog(targets=1)
        see(catalog, started_ms=100, is_draining=True)
        see(catalog, started_ms=100)
        assert not is_usable(catalog), "an old record of the same start"
        assert see(catalog, started_ms=200, cold_left_s=3.0)
        assert is_usable(catalog) and catalog.find_target("t0").is_cold(2.0)

    def test_a_record_of_an_earlier_start_changes_nothing(self):
        catalog = make_catalog(targets=1)
        see(catalog, started_ms=200)
        assert not see(catalog, started_ms=100, is_draining=True)
        assert is_usable(catalog)

    def test_each_new_start_is_told_once(self):
        catalog = make_catalog(targets=1)
        see(catalog, started_ms=100)
        assert not catalog.take_restart("t0")
        see(catalog, started_ms=200)
        assert [catalog.take_restart("t0") for _ in range(2)] == [True, False]

    def test_a_target_that_lapsed_and_came_back_anew_stays(self):
        catalog = make_catalog(targets=1)
        see(catalog, started_ms=100)
        hear_store_return(catalog, 2.0)
        catalog.apply(TargetGone("t0"), 2.0)
        see(catalog, 2.5, started_ms=200)
        assert catalog.drop_lapsed(10.0) == [] and is_usable(catalog)


class TestGateway:
    def test_what_was_learnt_is_dropped_and_nothing_goes_over_old_connections(self):
        async def check():
            async with GatewayKit.open(targets=1) as kit:
                kit.write_target("t0", started_ms=100)
                await kit.wait(lambda: kit.gateway.catalog.find_target("t0").record.started_ms)
                assert (await kit.call(key="k")).status == 200
                gateway = kit.gateway
                assert gateway.pool.count_idle() == 1
                gateway.feedback.add_failure("t0", 0.0, "reset", is_dead=True)
                assert gateway.feedback._latency.has_sent("t0", "k")
                kit.write_target("t0", started_ms=200)
                await kit.wait(lambda: gateway.catalog.find_target("t0").record.started_ms == 200)
                assert gateway.pool.count_idle() == 0
                assert not gateway.feedback._latency.has_sent("t0", "k")
                assert not gateway.chooser.list_out(asyncio.get_running_loop().time())
                assert (await kit.call(key="k")).status == 200

        asyncio.run(check())
