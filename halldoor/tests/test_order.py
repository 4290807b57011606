"""The order of a key's targets in a large fleet, and how many keys a region keeps."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.catalog import TargetSeen
from halldoor.core.targets.order import OrderSettings
from halldoor.core.targets.regionshare import SHARE_STEP, RegionShares, find_own_share
from halldoor.tests.choicekit import make_catalog, make_chooser, make_route, make_target


class TestLargeFleet:
    """What an entry decides that hardly ever meets the same key or target again."""

    def test_an_entry_without_answers_yet_takes_the_keys_first_target_not_the_nearer(self):
        """Regression: at the start of a fleet, keys were warmed at two targets."""
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
    def test_a_region_takes_what_its_part_of_the_room_is_for_its_callers(
        self, travel_s, aim_s, fill
    ):
        """Regression: a region with a tenth of the targets took 0.4 of a third of the requests."""
        catalog = make_catalog(0)
        for i in range(60):
            hall = "ams-a" if i < 12 else "grq-a"
            catalog.apply(TargetSeen(make_target(f"t{i}", hall=hall)), 0.0)
        shares = {}
        for hall, far in (("ams-a", "grq-a"), ("grq-a", "ams-a")):
            chooser = make_chooser(catalog, own_hall=hall)
            chooser.latency.add_connect(far, travel_s)
            # A lost packet does not make the region farther.
            chooser.latency.add_connect(far, 1.0)
            keys = [str(i) for i in range(1000)]
            halls = [chooser.choose(make_route(aim_s=aim_s), "deck", k, 1.0) for k in keys]
            shares[hall] = sum(t.record.hall == hall for t in halls) / 1000
        # A fifth of the room for half of the callers.
        assert abs(shares["ams-a"] - fill * 0.2 / 0.5) < 0.05
        assert abs(shares["grq-a"] - RegionShares().most) < 0.05

    def test_the_own_region_comes_first_while_its_distance_is_not_known(self):
        shares = RegionShares()
        assert shares.find_fill(make_route(aim_s=1.2), None) == shares.fill

    @given(
        room=st.floats(0.0, 1.0),
        callers=st.floats(0.01, 1.0),
        fill=st.floats(0.1, 3.0),
        most=st.floats(0.1, 0.95),
    )
    def test_the_share_follows_the_room_in_steps(self, room, callers, fill, most):
        share = find_own_share(room=room, callers=callers, fill=fill, most=most)
        assert abs(share - min(most, fill * room / callers)) <= SHARE_STEP / 2 + 1e-9
        assert 0.0 <= share < 1.0


class TestJoining:
    def make(self, **settings):
        """Give a chooser of a settled fleet of four targets, and a catalog to change."""
        catalog = make_catalog(4)
        catalog.apply(TargetSeen(make_target("t9", hall="ams-a", cold_left_s=2.0)), 100.0)
        return make_chooser(catalog, **settings)

    def count_keys(self, chooser, now, *, first="t9"):
        orders = (
            chooser.orders.get_order(
                make_route(), "deck", str(i), now, settings=OrderSettings(1.4, 0.9)
            )
            for i in range(500)
        )
        return sum(order[0].name == first for order in orders)

    def test_a_new_target_takes_its_keys_one_after_the_other_once_it_is_warm(self):
        chooser = self.make(join_s=6.0)
        counts = [self.count_keys(chooser, now) for now in (101.9, 103.5, 105.0, 108.0)]
        assert counts[0] == 0
        assert counts[3] > 100
        assert counts[1] == pytest.approx(counts[3] / 4, abs=0.08 * counts[3])
        assert counts[2] == pytest.approx(counts[3] / 2, abs=0.08 * counts[3])

    def test_a_key_that_it_took_over_stays(self):
        chooser = self.make(join_s=6.0)
        early = [i for i in range(200) if self.has_key(chooser, i, 104.0)]
        assert early
        assert all(self.has_key(chooser, i, 106.0) for i in early)

    def has_key(self, chooser, i, now):
        settings = OrderSettings(1.4, 0.9)
        order = chooser.orders.get_order(make_route(), "deck", str(i), now, settings=settings)
        return order[0].name == "t9"

    def test_all_at_once_where_it_is_switched_off(self):
        chooser = self.make(join_s=0.0)
        assert self.count_keys(chooser, 102.0) == self.count_keys(chooser, 200.0) > 100

    def test_what_an_entry_sees_at_its_start_was_there_before(self):
        catalog = make_catalog(4)
        catalog.apply(TargetSeen(make_target("t9", hall="ams-a")), 3.0)
        assert self.count_keys(make_chooser(catalog), 3.0) > 100

    def test_cold_targets_are_used_where_there_are_no_others(self):
        catalog = make_catalog(0)
        catalog.apply(TargetSeen(make_target("t0", cold_left_s=3.0)), 0.0)
        assert make_chooser(catalog).choose(make_route(), "deck", "k", 1.0).name == "t0"

    def test_a_key_keeps_its_place_while_its_cold_target_is_past_its_rate(self):
        """The next target is the one that the key has without the cold one."""
        catalog = make_catalog(6)
        chooser = make_chooser(catalog)
        before = {str(i): chooser.choose(make_route(), "deck", str(i), 99.0) for i in range(100)}
        for name in ("t8", "t9"):
            catalog.apply(TargetSeen(make_target(name, cold_left_s=3.0)), 100.0)
        for key, target in before.items():
            assert chooser.choose(make_route(), "deck", key, 101.0) is target
