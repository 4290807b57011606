"""Retry rules of both request paths: what must run once is not repeated, the rest is allowed."""

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.retry import RetryFacts, RetryObstacle, find_retry_obstacle

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
