"""Properties of the share of a region's keys that stay in the region."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.regionflow import WINDOW_S
from halldoor.core.targets.regionshare import SHIFT_PART, OwnShare, RegionSlots

SHARES = st.floats(0.0, 1.0)
MAX_SHIFT = 0.15
SLOTS = st.integers(0, 200)
ROOMS = st.builds(RegionSlots, own=SLOTS, far=SLOTS)


class TestOwnShare:
    @given(
        max_shift=st.floats(0.05, 0.5),
        first=SHARES,
        steps=st.lists(st.tuples(SHARES, st.floats(0.01, 1.0)), max_size=40),
    )
    def test_share_moves_at_most_the_bound_per_window_without_lost_slots(
        self, max_shift, first, steps
    ):
        room = RegionSlots(10, 20)
        share = OwnShare()
        seen = [(0.0, share.update(room, first, 0.0, max_shift=max_shift))]
        now = 0.0
        for aim, pause_s in steps:
            now += pause_s
            seen.append((now, share.update(room, aim, now, max_shift=max_shift)))
        for at, value in seen:
            near = [other for then, other in seen if abs(then - at) <= WINDOW_S]
            assert max(abs(other - value) for other in near) <= SHIFT_PART * max_shift + 1e-9

    @given(first=SHARES, second=SHARES, before=ROOMS, lost=st.integers(1, 50))
    def test_lost_slots_change_the_share_at_once(self, first, second, before, lost):
        before = before._replace(own=before.own + lost)
        share = OwnShare()
        share.update(before, first, 0.0, max_shift=MAX_SHIFT)
        after = before._replace(own=before.own - lost)
        assert abs(share.update(after, second, 0.001, max_shift=MAX_SHIFT) - second) <= 1e-9

    @given(first=SHARES, second=SHARES, room=ROOMS)
    def test_share_reaches_its_wanted_value(self, first, second, room):
        share = OwnShare()
        share.update(room, first, 0.0, max_shift=MAX_SHIFT)
        assert abs(share.update(room, second, 60.0, max_shift=MAX_SHIFT) - second) <= 1e-9
