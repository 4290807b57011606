"""The order of a key's targets in a large fleet, and the share of keys that a region keeps."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.changes import TargetRemoved, TargetSeen
from halldoor.core.targets.order import OrderSettings
from halldoor.core.targets.regionshare import SHARE_STEP, RegionShares, compute_own_share
from halldoor.tests.choicekit import make_catalog, make_chooser, make_route, make_target


class TestLargeFleet:
    """Choices of an entry that rarely gets the same key or uses the same target again."""

    def test_entry_without_answers_uses_the_first_target_even_if_the_second_is_nearer(self):
        """Regression: at the start of a fleet, each key was sent to two targets, cold on both."""
        catalog = make_catalog(20)
        chooser = make_chooser(catalog, region_fill=0.0, near_region_fill=0.0)
        for hall, travel_s in (("grq-a", 0.024), ("ams-a", 0.001)):
            chooser.latency.add_connect(hall, travel_s)
        for key in map(str, range(50)):
            order = chooser.orders.get_order(
                make_route(), "deck", key, 1.0, settings=OrderSettings(0.0, 0.9)
            )
            assert chooser.choose(make_route(), "deck", key, 1.0) is order[0]

    @pytest.mark.parametrize(
        ("travel_s", "aim_s", "fill"),
        [(0.024, 1.2, 1.0), (0.024, 0.3, 1.0), (0.05, 0.3, 1.4), (0.07, 0.4, 1.4)],
    )
    def test_share_of_requests_kept_in_the_region_follows_its_slots_per_caller(
        self, travel_s, aim_s, fill
    ):
        """Regression: a region with a tenth of the targets and a third of the requests ran 0.4 of
        these.
        """
        catalog = make_catalog(0)
        for i in range(60):
            hall = "ams-a" if i < 12 else "grq-a"
            catalog.apply(TargetSeen(make_target(f"t{i}", hall=hall)), 0.0)
        shares = {}
        for hall, far in (("ams-a", "grq-a"), ("grq-a", "ams-a")):
            chooser = make_chooser(catalog, own_hall=hall)
            chooser.latency.add_connect(far, travel_s)
            # A connection slowed by a lost packet must not change the region's distance.
            chooser.latency.add_connect(far, 1.0)
            keys = [str(i) for i in range(1000)]
            halls = [chooser.choose(make_route(aim_s=aim_s), "deck", k, 1.0) for k in keys]
            shares[hall] = sum(t.record.hall == hall for t in halls) / 1000
        # The region has a fifth of the slots and half of the callers.
        assert abs(shares["ams-a"] - fill * 0.2 / 0.5) < 0.05
        assert abs(shares["grq-a"] - RegionShares().most) < 0.05

    def test_own_region_is_preferred_while_the_round_trip_is_unknown(self):
        shares = RegionShares()
        assert shares.find_fill(make_route(aim_s=1.2), None) == shares.fill

    @given(
        room=st.floats(0.0, 1.0),
        callers=st.floats(0.01, 1.0),
        fill=st.floats(0.1, 3.0),
        most=st.floats(0.1, 0.95),
    )
    def test_share_is_proportional_to_the_slots_in_steps(self, room, callers, fill, most):
        share = compute_own_share(slot_part=room, caller_part=callers, fill=fill, most=most)
        assert abs(share - min(most, fill * room / callers)) <= SHARE_STEP / 2 + 1e-9
        assert 0.0 <= share < 1.0


class TestColdTargets:
    def test_cold_target_is_used_if_there_is_no_other(self):
        catalog = make_catalog(0)
        catalog.apply(TargetSeen(make_target("t0", cold_left_s=3.0)), 0.0)
        assert make_chooser(catalog).choose(make_route(), "deck", "k", 1.0).name == "t0"

    def test_order_without_cold_targets_is_as_if_they_did_not_exist(self):
        catalog = make_catalog(6)
        chooser = make_chooser(catalog)
        settings = OrderSettings(1.4, 0.9)

        def get_orders(now):
            return [
                list(chooser.orders.get_order(make_route(), "deck", key, now, settings=settings))
                for key in map(str, range(100))
            ]

        before = get_orders(99.0)
        for name in ("t8", "t9"):
            catalog.apply(TargetSeen(make_target(name, cold_left_s=3.0)), 100.0)
        cold = {"t8", "t9"}
        meanwhile = get_orders(101.0)
        for order, known in zip(meanwhile, before, strict=True):
            assert [t for t in order if t.name not in cold] == known
        firsts = [order[0].name for order in meanwhile]
        assert 10 < sum(name in cold for name in firsts) < 60
        # Once they are warm, the keys' first targets stay the same.
        assert [order[0].name for order in get_orders(104.0)] == firsts

    def test_requests_beyond_a_cold_targets_rate_all_go_to_the_next_target(self):
        catalog = make_catalog(6)
        chooser = make_chooser(catalog)
        first = chooser.choose(make_route(), "deck", "k", 100.0)
        record = make_target(first.name, hall=first.record.hall, cold_left_s=3.0)
        catalog.apply(TargetSeen(record), 100.0)
        chosen = {chooser.choose(make_route(), "deck", "k", 101.0).name for _ in range(20)}
        assert len(chosen - {first.name}) == 1


class TestEjectedTargets:
    """A target that is ejected and later removed moves its keys only once."""

    @pytest.mark.parametrize("hall", ["ams-a", "grq-a"])
    def test_keys_of_an_ejected_target_go_to_the_target_that_gets_them_after_its_removal(
        self, hall
    ):
        """Regression: 5 of an ejected target's 22 keys went to another region until its removal."""
        catalog = make_catalog(16)
        chooser = make_chooser(catalog)
        keys = list(map(str, range(200)))
        out = next(t for t in catalog.list_targets() if t.record.hall == hall)
        own = [k for k in keys if chooser.choose(make_route(), "deck", k, 1.0) is out]
        chooser.outliers.add_failure(out.name, 1.0, is_unreachable=True)
        meanwhile = [chooser.choose(make_route(), "deck", key, 1.1).name for key in own]
        catalog.apply(TargetRemoved(out.name), 1.2)
        assert own
        assert [chooser.choose(make_route(), "deck", key, 1.2).name for key in own] == meanwhile
