"""Retry rules of both request paths: what must run once is not repeated, the rest is allowed."""

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.retry import RetryFacts, RetryObstacle, find_obstacle

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
def test_what_may_run_once_is_never_sent_again_once_it_may_have_run(facts):
    may_run_twice = facts.may_have_run and not facts.is_repeatable
    if may_run_twice:
        assert find_obstacle(facts) in (RetryObstacle.MAY_HAVE_RUN, RetryObstacle.BODY_GONE)


@given(FACTS)
def test_nothing_else_forbids_an_attempt_that_has_time_and_its_body(facts):
    is_free = facts.is_repeatable or not facts.may_have_run
    has_attempt = facts.can_resend and facts.attempts < facts.attempt_limit
    assert (find_obstacle(facts) is None) == (is_free and has_attempt and facts.left_s > 0.005)
