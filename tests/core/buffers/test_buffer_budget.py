"""Bound on what many responses hold together."""

from __future__ import annotations

import gc

from hypothesis import given
from hypothesis import strategies as st

from cornellead_core.buffers import BufferBudget

LIMIT_BYTES = 100_000


class _Holder:
    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.dropped = False

    def hold(self, size: int) -> None:
        self.budget.record(self, size)

    def drop_buffer(self) -> None:
        self.dropped = True
        self.hold(0)


def test_largest_holder_gives_up() -> None:
    """Guards against sound responses that end because of one without end."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    small, large = _Holder(budget), _Holder(budget)
    small.hold(LIMIT_BYTES // 3)
    for size in range(5000, LIMIT_BYTES, 5000):
        if not large.dropped:
            large.hold(size)
    assert large.dropped and not small.dropped
    assert budget.used_bytes == LIMIT_BYTES // 3 and budget.dropped == 1


def test_holder_that_is_gone_is_not_counted() -> None:
    """Guards against a limit that is used up by responses nobody reads to their end."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    for _ in range(50):
        _Holder(budget).hold(LIMIT_BYTES // 10)
    gc.collect()
    assert budget.used_bytes == 0 and budget.dropped == 0


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, LIMIT_BYTES * 2)), max_size=60))
def test_sum_stays_below_the_limit(steps: list[tuple[int, int]]) -> None:
    """Guards against memory that grows with the number of responses."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    holders = [_Holder(budget) for _ in range(10)]
    for position, size in steps:
        holders[position].hold(size)
        assert 0 <= budget.used_bytes <= LIMIT_BYTES
