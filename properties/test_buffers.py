"""Laws of the budget of buffers: what is counted is what is held, and some stays free."""

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.buffers import (
    LARGE_BYTES,
    THRESHOLD_SHARE,
    BufferAccount,
    BufferBudget,
    BufferKind,
    ExpectedSizes,
)

LIMIT_BYTES = 10_000_000
PIECE_BYTES = 16_384
steps = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(list(BufferKind)), st.integers(0, 500_000)),
    max_size=60,
)


@given(steps)
def test_budget_counts_the_sum_of_all_accounts(changes):
    budget = BufferBudget(LIMIT_BYTES)
    accounts = [BufferAccount(budget) for _ in range(4)]
    buffers = []
    for account, kind, size in changes:
        buffer = accounts[account].reserve(kind, size)
        buffer.add(size // 2)
        buffers.append(buffer)
        assert budget.held_bytes == sum(a.held_bytes for a in accounts)
        assert budget.held_bytes == sum(budget.by_kind.values()) <= budget.peak_bytes
    for buffer in buffers:
        buffer.close()
        buffer.add(1_000)
        buffer.set(1_000)
    assert budget.held_bytes == 0
    assert set(budget.by_kind.values()) <= {0}


@given(st.integers(1, 400))
def test_greedy_accounts_leave_a_share_to_others(count):
    budget = BufferBudget(LIMIT_BYTES)
    accounts = [BufferAccount(budget) for _ in range(count)]
    is_growing = True
    while is_growing:
        is_growing = False
        for account in accounts:
            if not account.is_full:
                account.add(BufferKind.ANSWER, PIECE_BYTES)
                is_growing = True
    free = LIMIT_BYTES - budget.held_bytes
    # Each account stops at most one piece beyond the threshold.
    assert free >= LIMIT_BYTES / (1 + THRESHOLD_SHARE * count) - count * PIECE_BYTES
    assert free >= 0.2 * LIMIT_BYTES - PIECE_BYTES - LARGE_BYTES
    newcomer = BufferAccount(budget)
    assert budget.has_room(LARGE_BYTES - 1)
    assert newcomer.held_bytes == 0


@given(st.lists(st.integers(0, 10**9), min_size=1, max_size=30))
def test_expected_size_is_at_least_the_last_one_up_to_its_bound(sizes):
    expected = ExpectedSizes()
    for size in sizes:
        expected.add("k", size)
        assert min(size, 131_072) <= expected.find("k", default=0) <= 131_072
