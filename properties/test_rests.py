"""Properties of the back-offs that targets request from an entry."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.rests import LOOKS, REST_MOST_S, RestTable

START = ("t1", 0)
GRACE_S = 0.5
STEPS = st.lists(
    st.tuples(
        st.floats(0.01, 60.0),  # Time until the next request, in seconds.
        st.one_of(st.none(), st.floats(0.0, 600.0), st.just(1e12)),  # Back-off; None: success.
    ),
    max_size=80,
)


@given(steps=STEPS)
def test_no_rest_gets_more_than_two_requests_unless_two_were_served(steps):
    table, now = RestTable(), 0.0
    sent = []
    for wait_s, rest_s in steps:
        now += wait_s
        if not table.may_send(START, now, in_flight=0):
            continue
        table.note_sent(START, now)
        sent.append((now, rest_s))
        if rest_s is None:
            table.add_sound(START, now)
        else:
            table.add(START, rest_s, now)
    for asked_at, rest_s in sent:
        ends_at = asked_at + min(rest_s or 0.0, REST_MOST_S)
        inside = [rest for at, rest in sent if asked_at + GRACE_S < at < ends_at]
        assert len(inside) <= LOOKS or inside.count(None) >= LOOKS


@given(rest_s=st.floats(0.0, 1e12), waits=st.lists(st.floats(0.1, 600.0), max_size=40))
def test_a_target_that_serves_again_is_always_found_again(rest_s, waits):
    table = RestTable()
    table.add(START, rest_s, 0.0)
    now = 0.0
    for wait_s in waits:
        now += wait_s
        if table.may_send(START, now, in_flight=0):
            table.note_sent(START, now)
            table.add_sound(START, now)
    assert table.may_send(START, now + REST_MOST_S, in_flight=0)
