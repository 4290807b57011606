"""Properties of budgets of which each entry uses its own share, without messages."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare, RetrySettings, RetryShare, count_permits
from halldoor.core.targets.sharers import SharerTable
from halldoor.gateway.permits import USE_S
from halldoor.standins.repeats import find_excess

WINDOW_S = 10.0
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 0.7), st.integers(0, 6), st.booleans()), min_size=1, max_size=200
)


@given(events=EVENTS, entries=st.integers(1, 7))
def test_retries_of_all_entries_together_stay_within_the_budget(events, entries):
    ratio, slack = 0.2, 20.0
    shares = [
        RetryShare(ratio=ratio, slack=slack, window_s=WINDOW_S, began_at=0.0)
        for _ in range(entries)
    ]
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


class ShareFleet:
    """Entries that restart, join and leave, each with its own share of the retry budget.

    Attributes
    ----------
    requests, retries : list of float
        Times of all requests, and of all retries that were allowed.
    """

    def __init__(self, entries, budget):
        self.budget = budget
        self.now = 0.0
        self.requests = []
        self.retries = []
        self.sharers = SharerTable()
        self.shares = {}
        for _ in range(entries):
            self.join("")

    def apply(self, action, entry, times):
        """Apply an action of an entry a number of times, at the current time."""
        name = list(self.shares)[entry % len(self.shares)]
        for _ in range(times):
            getattr(self, action)(name)

    def request(self, name):
        self.shares[name].add_request(self.now)
        self.requests.append(self.now)

    def retry(self, name):
        # Up to a fifth of the entries may be unknown to others.
        entries = math.ceil(0.8 * self.sharers.count(self.now, young_s=0.0))
        if self.shares[name].reserve_retry(self.now, entries=entries):
            self.retries.append(self.now)

    def restart(self, name):
        self.shares[name] = RetryShare(**self.budget._asdict(), began_at=self.now)

    def restart_all(self, _):
        for name in self.shares:
            self.restart(name)

    def join(self, _):
        name = f"e{self.sharers.version}"
        self.sharers.add(name)
        self.restart(name)

    def leave(self, name):
        if len(self.shares) > 1 and name in self.shares:
            del self.shares[name]
            self.sharers.remove(name, self.now)


ACTIONS = st.one_of(
    st.tuples(st.just("request"), st.integers(1, 400)),
    st.tuples(st.just("retry"), st.integers(1, 200)),
    st.tuples(st.sampled_from(["restart", "restart_all", "join", "leave"]), st.just(1)),
)


@settings(max_examples=300)
@given(
    events=st.lists(
        st.tuples(st.floats(0.0, 3.0), st.integers(0, 6), ACTIONS), min_size=1, max_size=40
    ),
    entries=st.sampled_from([1, 4, 40]),
)
def test_retries_stay_within_the_budget_while_entries_restart(events, entries):
    fleet = ShareFleet(entries, RetrySettings(ratio=0.2, slack=20.0, window_s=WINDOW_S))
    for pause_s, entry, (action, times) in events:
        fleet.now += pause_s
        fleet.apply(action, entry, times)
    assert find_excess(fleet.requests, fleet.retries, fleet.budget).by <= 0


class PermitFleet(ShareFleet):
    """Entries that also use permits in the first window after their start.

    Attributes
    ----------
    delay_s : float
        Time from the claim of a permit until the retry that uses it arrives, in seconds.
    """

    def __init__(self, entries, budget):
        self.started_at = {}
        self.expires_at = [-math.inf] * count_permits(budget)
        self.delay_s = 0.0
        super().__init__(entries, budget)

    def restart(self, name):
        super().restart(name)
        self.started_at[name] = self.now

    def retry(self, name):
        before = len(self.retries)
        super().retry(name)
        is_new = self.now - self.started_at[name] < self.budget.window_s
        if len(self.retries) > before or not is_new:
            return
        for number, expires_at in enumerate(self.expires_at):
            if expires_at <= self.now:
                self.expires_at[number] = self.now + self.budget.window_s + USE_S
                self.retries.append(self.now + self.delay_s)
                return


@settings(max_examples=300)
@given(
    events=st.lists(
        st.tuples(st.floats(0.0, 3.0), st.integers(0, 6), ACTIONS, st.floats(0.0, USE_S)),
        min_size=1,
        max_size=40,
    ),
    entries=st.sampled_from([1, 4, 40]),
)
def test_permits_of_new_entries_stay_within_the_budget(events, entries):
    fleet = PermitFleet(entries, RetrySettings(ratio=0.2, slack=20.0, window_s=WINDOW_S))
    for pause_s, entry, (action, times), delay_s in events:
        fleet.now += pause_s
        fleet.delay_s = delay_s
        fleet.apply(action, entry, times)
    assert find_excess(fleet.requests, fleet.retries, fleet.budget).by <= 0
