"""Properties of the back-offs that targets request from an entry."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.rests import BACKOFF_MAX_S, PROBE_COUNT, BackoffTable

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
def test_target_gets_at_most_two_probes_in_a_backoff_unless_two_succeed(steps):
    table, now = BackoffTable(), 0.0
    sent = []
    for wait_s, rest_s in steps:
        now += wait_s
        if not table.can_send(START, now, in_flight=0):
            continue
        table.record_sent(START, now)
        sent.append((now, rest_s))
        if rest_s is None:
            table.add_success(START, now)
        else:
            table.add(START, rest_s, now)
    for asked_at, rest_s in sent:
        ends_at = asked_at + min(rest_s or 0.0, BACKOFF_MAX_S)
        inside = [rest for at, rest in sent if asked_at + GRACE_S < at < ends_at]
        assert len(inside) <= PROBE_COUNT or inside.count(None) >= PROBE_COUNT


@given(rest_s=st.floats(0.0, 1e12), waits=st.lists(st.floats(0.1, 600.0), max_size=40))
def test_recovered_target_is_always_used_again(rest_s, waits):
    table = BackoffTable()
    table.add(START, rest_s, 0.0)
    now = 0.0
    for wait_s in waits:
        now += wait_s
        if table.can_send(START, now, in_flight=0):
            table.record_sent(START, now)
            table.add_success(START, now)
    assert table.can_send(START, now + BACKOFF_MAX_S, in_flight=0)
