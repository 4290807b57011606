"""Properties of budgets of which each entry uses its own share, without messages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare, RetryShare

WINDOW_S = 10.0
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 0.7), st.integers(0, 6), st.booleans()), min_size=1, max_size=200
)


@given(events=EVENTS, entries=st.integers(1, 7))
def test_retries_of_all_entries_together_stay_within_the_budget(events, entries):
    ratio, slack = 0.2, 20.0
    shares = [RetryShare(ratio=ratio, slack=slack, window_s=WINDOW_S) for _ in range(entries)]
    now = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for pause_s, entry, is_request in events:
        now += pause_s
        share = shares[entry % entries]
        if is_request:
            share.add_request(now)
            requests.append(now)
        elif share.reserve_retry(now, entries=entries):
            retries.append(now)
        recent = [t for t in retries if t > now - WINDOW_S]
        asked = [t for t in requests if t > now - WINDOW_S]
        assert len(recent) <= ratio * len(asked) + slack


@given(
    sends=st.lists(st.tuples(st.floats(0.0, 0.2), st.integers(0, 29)), max_size=300),
    entries=st.integers(1, 30),
    limit=st.integers(1, 25),
)
def test_a_cold_target_gets_no_more_than_its_limit_in_any_second(sends, entries, limit):
    names = [f"e{i}" for i in range(entries)]
    order = rank("t1", names)
    shares = {name: RateShare(window_s=1.1) for name in names}
    now = 0.0
    sent: list[float] = []
    for pause_s, entry in sends:
        now += pause_s
        name = names[entry % entries]
        taken = shares[name].reserve_request(
            "t1", now, limit=limit, entries=entries, rank=order.index(name)
        )
        if taken:
            sent.append(now)
        assert len([t for t in sent if t > now - 1.0]) <= limit
