"""Properties of the share of a region's keys that stay in the region."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.regionflow import WINDOW_S
from halldoor.core.targets.regionshare import SLEW_PART, OwnShare, Room

SHARES = st.floats(0.0, 1.0)
MAX_SHIFT = 0.15
SLOTS = st.integers(0, 200)
ROOMS = st.builds(Room, own=SLOTS, far=SLOTS)


class TestOwnShare:
    @given(
        max_shift=st.floats(0.05, 0.5),
        first=SHARES,
        steps=st.lists(st.tuples(SHARES, st.floats(0.01, 1.0)), max_size=40),
    )
    def test_without_a_loss_it_moves_at_most_the_bound_in_a_window(self, max_shift, first, steps):
        room = Room(10, 20)
        share = OwnShare()
        seen = [(0.0, share.follow(room, first, 0.0, max_shift=max_shift))]
        now = 0.0
        for aim, pause_s in steps:
            now += pause_s
            seen.append((now, share.follow(room, aim, now, max_shift=max_shift)))
        for at, value in seen:
            near = [other for then, other in seen if abs(then - at) <= WINDOW_S]
            assert max(abs(other - value) for other in near) <= SLEW_PART * max_shift + 1e-9

    @given(first=SHARES, second=SHARES, before=ROOMS, lost=st.integers(1, 50))
    def test_a_loss_moves_at_once_what_it_asks_for(self, first, second, before, lost):
        before = before._replace(own=before.own + lost)
        share = OwnShare()
        share.follow(before, first, 0.0, max_shift=MAX_SHIFT)
        after = before._replace(own=before.own - lost)
        assert abs(share.follow(after, second, 0.001, max_shift=MAX_SHIFT) - second) <= 1e-9

    @given(first=SHARES, second=SHARES, room=ROOMS)
    def test_it_arrives(self, first, second, room):
        share = OwnShare()
        share.follow(room, first, 0.0, max_shift=MAX_SHIFT)
        assert abs(share.follow(room, second, 60.0, max_shift=MAX_SHIFT) - second) <= 1e-9
