"""Retry rules of both request paths: what must run once is not repeated, the rest is allowed."""

from types import SimpleNamespace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.retry import RetryFacts, RetryObstacle, find_retry_obstacle
from halldoor.core.targets.budget import RetrySettings
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.attempt import AttemptResult, Origin, RequestState
from halldoor.gateway.retries import RetryGate

FACTS = st.builds(
    RetryFacts,
    is_repeatable=st.booleans(),
    may_have_run=st.booleans(),
    can_resend=st.booleans(),
    attempts=st.integers(0, 5),
    attempt_limit=st.integers(1, 4),
    left_s=st.floats(-1, 10),
)


@given(FACTS)
def test_unrepeatable_request_that_may_have_run_is_not_sent_again(facts):
    may_run_twice = facts.may_have_run and not facts.is_repeatable
    if may_run_twice:
        assert find_retry_obstacle(facts) in (RetryObstacle.MAY_HAVE_RUN, RetryObstacle.BODY_GONE)


@given(FACTS)
def test_only_the_listed_obstacles_forbid_a_retry(facts):
    is_free = facts.is_repeatable or not facts.may_have_run
    has_attempt = facts.can_resend and facts.attempts < facts.attempt_limit
    assert (find_retry_obstacle(facts) is None) == (
        is_free and has_attempt and facts.left_s > 0.005
    )


def make_gate():
    """Build a gate whose budget allows every retry, and count what is charged to it."""
    sharers = SimpleNamespace(count_sharers=lambda now: 1)
    metrics = mock.Mock()
    settings = RetrySettings(ratio=1.0, slack=1e9, window_s=10.0)
    gate = RetryGate(sharers, settings, log=mock.Mock(), metrics=metrics)
    gate.start(-100.0)
    return gate, metrics.add_retry


def make_attempt(result):
    return SimpleNamespace(result=result, took_ms=1)


def make_state():
    route = SimpleNamespace(kind=RequestKind.REPEATABLE, max_attempts=100)
    admitted = SimpleNamespace(route=route, team="")
    return RequestState(None, admitted, "deck", "", "a1", origin=Origin(""))


FAILED_RESULTS = [
    AttemptResult.FAILED,
    AttemptResult.NOT_RUN,
    AttemptResult.NOT_REACHED,
    AttemptResult.ANSWER_LOST,
]


@given(
    rounds=st.lists(
        st.lists(st.sampled_from(FAILED_RESULTS), min_size=1, max_size=2), min_size=1, max_size=8
    )
)
def test_each_arrival_beyond_the_first_is_charged(rounds):
    """A round is an attempt, or one with a hedge, in the order in which they end."""
    gate, charged = make_gate()
    state = make_state()
    for results in rounds:
        if len(results) == 2:
            assert gate.reserve_hedge(state, 0.0)
        state.attempts += [make_attempt(result) for result in results]
        assert charged.call_count >= state.sent_count - 1
        if gate.find_obstacle(state, 0.0, can_resend=True, expires_at=10.0) is not None:
            break
