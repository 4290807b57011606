"""A target that starts again under its name: no state of its earlier start is used."""

from __future__ import annotations

import asyncio

from halldoor.core.targets.changes import TargetRemoved, TargetSeen
from halldoor.tests.choicekit import make_catalog, make_target, record_store_return
from halldoor.tests.gatewaykit import GatewayKit


def apply_record(catalog, now=1.0, **changes):
    record = make_target("t0")._replace(**changes)
    return catalog.apply(TargetSeen(record), now)


def is_usable(catalog):
    return "t0" in {t.name for t in catalog.list_usable("deck")}


class TestCatalog:
    def test_target_is_usable_again_after_its_next_start(self):
        catalog = make_catalog(targets=1)
        apply_record(catalog, started_ms=100, is_draining=True)
        apply_record(catalog, started_ms=100)
        assert not is_usable(catalog), "an old record of the same start"
        assert apply_record(catalog, started_ms=200, cold_left_s=3.0)
        assert is_usable(catalog) and catalog.find_target("t0").is_cold(2.0)

    def test_record_of_an_earlier_start_is_ignored(self):
        catalog = make_catalog(targets=1)
        apply_record(catalog, started_ms=200)
        assert not apply_record(catalog, started_ms=100, is_draining=True)
        assert is_usable(catalog)

    def test_each_new_start_is_reported_once(self):
        catalog = make_catalog(targets=1)
        apply_record(catalog, started_ms=100)
        assert not catalog.pop_restart("t0")
        apply_record(catalog, started_ms=200)
        assert [catalog.pop_restart("t0") for _ in range(2)] == [True, False]

    def test_expired_target_that_starts_again_is_kept(self):
        catalog = make_catalog(targets=1)
        apply_record(catalog, started_ms=100)
        record_store_return(catalog, 2.0)
        catalog.apply(TargetRemoved("t0"), 2.0)
        apply_record(catalog, 2.5, started_ms=200)
        assert catalog.drop_lapsed(10.0) == [] and is_usable(catalog)

    def test_record_with_a_start_in_the_future_pins_its_target(self):
        catalog = make_catalog(targets=1)
        apply_record(catalog, 1.0, started_ms=10**13, is_draining=True)
        apply_record(catalog, 2.0, started_ms=100)
        apply_record(catalog, 3.9, started_ms=100, slots=7)
        assert catalog.apply_postponed(3.9) == [] and not is_usable(catalog)
        (change,) = catalog.apply_postponed(4.0)
        assert is_usable(catalog) and change.record.slots == 7 and catalog.pop_restart("t0")

    def test_earlier_start_is_not_used_while_the_later_one_writes(self):
        catalog = make_catalog(targets=1)
        for second in range(1, 20, 2):
            apply_record(catalog, float(second), started_ms=200)
            apply_record(catalog, second + 0.5, started_ms=100, is_draining=True)
            assert catalog.apply_postponed(second + 1.0) == [] and is_usable(catalog)
        catalog.apply(TargetRemoved("t0"), 20.0)
        assert catalog.apply_postponed(30.0) == [] and catalog.find_target("t0") is None


class TestGateway:
    def test_restart_drops_the_results_and_connections_of_the_earlier_start(self):
        async def check():
            async with GatewayKit.open(targets=1) as kit:
                kit.write_target("t0", started_ms=100)
                await kit.wait(lambda: kit.gateway.catalog.find_target("t0").record.started_ms)
                assert (await kit.call(key="k")).status == 200
                gateway = kit.gateway
                assert gateway.pool.count_idle() == 1
                gateway.feedback.add_failure("t0", 0.0, "reset", is_unreachable=True)
                assert gateway.feedback._latency.has_answered("t0", "k")
                kit.write_target("t0", started_ms=200)
                await kit.wait(lambda: gateway.catalog.find_target("t0").record.started_ms == 200)
                assert gateway.pool.count_idle() == 0
                assert not gateway.feedback._latency.has_answered("t0", "k")
                assert not gateway.chooser.list_excluded(asyncio.get_running_loop().time())
                assert (await kit.call(key="k")).status == 200

        asyncio.run(check())
