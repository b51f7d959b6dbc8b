"""G2: a cold server receives no more requests than it can handle."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_agent.admission import ColdLimit
from cornellead_agent.admission import ServerSample

CAPACITY = 16
START_LIMIT = 2
WARM_SAMPLE = ServerSample("boot-1", 0, 0, 400)


def make_warm() -> ColdLimit:
    """Return the limit of a server that has completed its warm-up."""
    limit = ColdLimit(start=START_LIMIT, capacity=CAPACITY, ceiling_s=0.63)
    limit.observe(WARM_SAMPLE)
    while limit.value < CAPACITY:
        limit.record_success(first_token_s=0.1)
    return limit


def test_limit_doubles_after_as_many_successes_as_its_value() -> None:
    """Guards against a limit that grows faster than the server warms up."""
    limit = ColdLimit(start=START_LIMIT, capacity=CAPACITY, ceiling_s=0.63)
    successes_per_step = []
    while limit.value < CAPACITY:
        previous, count = limit.value, 0
        while limit.value == previous:
            limit.record_success(first_token_s=0.1)
            count += 1
        successes_per_step.append(count)
    assert successes_per_step == [2, 4, 8]


@pytest.mark.parametrize(
    "sample",
    [
        WARM_SAMPLE._replace(boot_id="boot-2"),
        WARM_SAMPLE._replace(restarts=1),
        WARM_SAMPLE._replace(cached_blocks=199),
        WARM_SAMPLE._replace(cached_blocks=0, running=12),
    ],
)
def test_sample_of_a_restarted_server_resets_the_limit(sample: ServerSample) -> None:
    """Guards against full load on a server that lost its caches without reporting it.

    Signs are a new boot id, a higher restart count and a drop of the cached blocks.
    """
    limit = make_warm()
    assert limit.observe(sample)
    assert limit.value == START_LIMIT


def test_error_or_slow_first_token_resets_the_limit() -> None:
    """Guards against full load on a cold server that only its responses reveal."""
    limit = make_warm()
    limit.record_error()
    assert limit.value == START_LIMIT
    limit = make_warm()
    limit.record_success(first_token_s=0.7)
    assert limit.value == START_LIMIT


def test_slow_successes_do_not_raise_the_limit() -> None:
    """Guards against growth of the limit while the time to first token exceeds its ceiling."""
    limit = ColdLimit(start=START_LIMIT, capacity=CAPACITY, ceiling_s=0.63)
    for _ in range(100):
        limit.record_success(first_token_s=0.7)
    assert limit.value == START_LIMIT


@pytest.mark.parametrize(("running", "expected"), [(0, 2), (1, 2), (9, 9), (40, 16)])
def test_restarted_agent_starts_at_the_present_load_of_its_engine(
    running: int, expected: int
) -> None:
    """Guards against a reset of warm engines to the cold limit when agents are upgraded."""
    limit = ColdLimit(start=START_LIMIT, capacity=CAPACITY, ceiling_s=0.63)
    assert not limit.observe(WARM_SAMPLE._replace(running=running))
    assert limit.value == expected


@settings(derandomize=True, deadline=None)
@given(
    cold_capacity=st.integers(2, 12),
    events=st.lists(st.sampled_from(["finish", "arrive", "arrive", "cold"]), max_size=300),
)
def test_load_of_a_cold_engine_stays_within_its_capacity(
    cold_capacity: int, events: list[str]
) -> None:
    """Guards against overload in any order of arrivals, completions and silent restarts.

    The modelled engine can run one more request for each that it finished since its restart.
    """
    limit = ColdLimit(start=START_LIMIT, capacity=64, ceiling_s=0.63)
    running, finished, boot_count = 0, 0, 0
    limit.observe(ServerSample("0", 0, 0, 0))
    for event in events:
        if event == "cold":
            running, finished, boot_count = 0, 0, boot_count + 1
            limit.observe(ServerSample(str(boot_count), 0, 0, 0))
        elif event == "arrive" and running < limit.value:
            running += 1
            assert running <= cold_capacity + finished
        elif event == "finish" and running:
            running -= 1
            finished += 1
            limit.record_success(first_token_s=0.1)


def test_response_that_is_not_streamed_does_not_reset_the_limit() -> None:
    """Guards against a warm server kept at the cold limit by responses without a first token."""
    limit = make_warm()
    limit.record_success(first_token_s=None)
    assert limit.value == CAPACITY
