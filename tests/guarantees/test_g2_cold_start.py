"""G2: a server that is cold receives no more work than it bears."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_agent.admission import ColdLimit
from cornellead_agent.admission import ServerSample

CAPACITY = 16
START = 2
WARM = ServerSample("boot-1", 0, 0, 400)


def make_warm() -> ColdLimit:
    """Return the limit of a server that has shown that it is warm."""
    limit = ColdLimit(start=START, capacity=CAPACITY, ceiling_s=0.63)
    limit.observe(WARM)
    while limit.value < CAPACITY:
        limit.record_success(first_token_s=0.1)
    return limit


def test_limit_doubles_after_as_many_successes_as_it_allows() -> None:
    """Guards against a limit that rises faster than the server proves itself."""
    limit = ColdLimit(start=START, capacity=CAPACITY, ceiling_s=0.63)
    needed = []
    while limit.value < CAPACITY:
        before, count = limit.value, 0
        while limit.value == before:
            limit.record_success(first_token_s=0.1)
            count += 1
        needed.append(count)
    assert needed == [2, 4, 8]


@pytest.mark.parametrize(
    "sample",
    [
        WARM._replace(boot_id="boot-2"),
        WARM._replace(restarts=1),
        WARM._replace(cached_blocks=199),
        WARM._replace(cached_blocks=0, running=12),
    ],
)
def test_signs_of_cold_drop_the_limit_at_once(sample: ServerSample) -> None:
    """Guards against full load on a server that lost its caches without notice."""
    limit = make_warm()
    assert limit.observe(sample)
    assert limit.value == START


def test_error_and_slow_first_token_drop_the_limit() -> None:
    """Guards against signs that only requests show."""
    limit = make_warm()
    limit.record_error()
    assert limit.value == START
    limit = make_warm()
    limit.record_success(first_token_s=0.7)
    assert limit.value == START


def test_slow_successes_do_not_raise_the_limit() -> None:
    """Guards against growth of a server that misses its time to first token."""
    limit = ColdLimit(start=START, capacity=CAPACITY, ceiling_s=0.63)
    for _ in range(100):
        limit.record_success(first_token_s=0.7)
    assert limit.value == START


@pytest.mark.parametrize(("running", "expected"), [(0, 2), (1, 2), (9, 9), (40, 16)])
def test_agent_restarted_beside_a_warm_engine_starts_at_its_load(
    running: int, expected: int
) -> None:
    """Guards against a drop of a busy fleet to the cold limit when agents are replaced."""
    limit = ColdLimit(start=START, capacity=CAPACITY, ceiling_s=0.63)
    assert not limit.observe(WARM._replace(running=running))
    assert limit.value == expected


@settings(derandomize=True, deadline=None)
@given(
    bears=st.integers(2, 12),
    events=st.lists(st.sampled_from(["finish", "arrive", "arrive", "cold"]), max_size=300),
)
def test_a_cold_engine_is_never_above_what_it_bears(bears: int, events: list[str]) -> None:
    """Guards against overload in any order of arrivals, completions and silent restarts.

    The modelled engine bears one more request for each that it finished since it became cold.
    """
    limit = ColdLimit(start=START, capacity=64, ceiling_s=0.63)
    running, served, boots = 0, 0, 0
    limit.observe(ServerSample("0", 0, 0, 0))
    for name in events:
        if name == "cold":
            running, served, boots = 0, 0, boots + 1
            limit.observe(ServerSample(str(boots), 0, 0, 0))
        elif name == "arrive" and running < limit.value:
            running += 1
            assert running <= bears + served
        elif name == "finish" and running:
            running -= 1
            served += 1
            limit.record_success(first_token_s=0.1)
