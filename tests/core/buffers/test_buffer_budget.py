"""Bound on what many responses hold together."""

from __future__ import annotations

import gc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead_core.buffers import UNKNOWN_OWNER
from cornellead_core.buffers import BufferBudget
from cornellead_core.buffers import BufferOwner

LIMIT_BYTES = 100_000


class _Holder:
    def __init__(self, budget: BufferBudget, owner: BufferOwner = UNKNOWN_OWNER) -> None:
        self.budget = budget
        self.owner = owner
        self.dropped = False

    def hold(self, size: int) -> None:
        self.budget.record(self, size, owner=self.owner)

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


@pytest.mark.parametrize(
    ("sound", "faulty", "later"),
    [
        (BufferOwner("a", "a1"), [BufferOwner("b", "b1")], 20),
        (BufferOwner("a", "a1"), [BufferOwner("b", f"b{number}") for number in range(20)], 20),
        (BufferOwner("a", "a1"), [BufferOwner("a", "a2")], 20),
        (BufferOwner("", "a1"), [BufferOwner("", "a2")], 20),
        (UNKNOWN_OWNER, [UNKNOWN_OWNER], 6),
    ],
    ids=["two services", "service of many servers", "two servers", "no service", "one server"],
)
def test_many_small_holders_do_not_end_a_sound_one(
    sound: BufferOwner, faulty: list[BufferOwner], later: int
) -> None:
    """Guards against a sound response that ends as the largest beside small ones without end
    (issue 38)."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    endless = [_Holder(budget, faulty[number % len(faulty)]) for number in range(20 + later)]
    for holder in endless[:20]:
        holder.hold(LIMIT_BYTES // 20)
    large = _Holder(budget, sound)
    for number, holder in enumerate(endless[20:], start=1):
        large.hold(number * LIMIT_BYTES // 60)
        holder.hold(LIMIT_BYTES // 20)
    assert not large.dropped and budget.used_bytes <= LIMIT_BYTES


def test_services_with_as_many_servers_lose_nothing_to_a_faulty_one() -> None:
    """Guards against a share by server, which a faulty service with many of them fills (issue
    38)."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    sound = [_Holder(budget, BufferOwner(f"a{number}", f"a{number}")) for number in range(4)]
    for holder in sound:
        holder.hold(LIMIT_BYTES // 10)
    endless = [_Holder(budget, BufferOwner("b", f"b{number % 4}")) for number in range(60)]
    for holder in endless:
        holder.hold(LIMIT_BYTES // 20)
    assert not any(holder.dropped for holder in sound)
    assert sum(holder.dropped for holder in endless) == 48


def test_holder_that_passes_bytes_on_outlasts_those_that_stand_still() -> None:
    """Guards against a long stream that ends as the oldest although its caller reads it."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    stream = _Holder(budget)
    endless = [_Holder(budget) for _ in range(60)]
    for holder in endless:
        stream.hold(LIMIT_BYTES // 5)
        stream.hold(LIMIT_BYTES // 6)
        holder.hold(LIMIT_BYTES // 20)
    assert not stream.dropped and budget.dropped > 0


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, LIMIT_BYTES // 2), st.booleans()), max_size=60
    )
)
def test_service_within_its_equal_share_loses_nothing(steps: list[tuple[int, int, bool]]) -> None:
    """Guards against a service that pays for what others hold (issue 38)."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    sound = [_Holder(budget, BufferOwner("a", f"a{number}")) for number in range(10)]
    others = [_Holder(budget, BufferOwner("b", "b1")) for _ in range(10)]
    for position, size, is_sound in steps:
        if is_sound:
            sound[position].hold(size // 10)
        else:
            others[position].hold(size)
    assert not any(holder.dropped for holder in sound)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, LIMIT_BYTES * 2)), max_size=60))
def test_sum_stays_below_the_limit(steps: list[tuple[int, int]]) -> None:
    """Guards against memory that grows with the number of responses."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    holders = [_Holder(budget, BufferOwner("a", f"a{number % 3}")) for number in range(10)]
    for position, size in steps:
        holders[position].hold(size)
        assert 0 <= budget.used_bytes <= LIMIT_BYTES


def test_holders_give_way_to_what_cannot_be_given_up() -> None:
    """Guards against a sum above the limit because of requests in progress."""
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    holder = _Holder(budget)
    holder.hold(LIMIT_BYTES // 2)
    assert budget.try_pin(LIMIT_BYTES // 2)
    assert not holder.dropped
    assert budget.try_pin(LIMIT_BYTES // 4)
    assert holder.dropped
    assert not budget.try_pin(LIMIT_BYTES // 2)
    budget.unpin(3 * LIMIT_BYTES // 4)
    assert budget.pinned_bytes == 0 and budget.refused == 1


def test_single_large_request_has_room_in_any_budget() -> None:
    """Guards against a limit on bodies that is larger than the budget: its requests would be
    refused also while nothing else is in progress."""
    budget = BufferBudget(limit_bytes=1 << 20)
    assert budget.try_pin(2 << 20)
    assert not budget.try_pin(2 << 20)
    budget.unpin(2 << 20)
    assert budget.try_pin(2 << 20)
