"""Rate limit of a server, shared among routers that see only their own requests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.policy import ServerRateLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK_REQUESTS = 5
STEP_S = 0.05


def most_in_a_window(times: list[float]) -> int:
    """Return the most times within `WINDOW_S`."""
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def send(
    members: Callable[[float], list[str]],
    limit: Callable[[float], float],
    *,
    seconds: float,
    seed: int,
    known_late_s: float = 0.0,
) -> list[float]:
    """Let all routers try to send all the time and return when requests arrive.

    :param members: Returns the running routers at a time.
    :param known_late_s: Time after which all routers know of a change of the members; until then
        each knows of it or not at random.
    """
    rng = random.Random(seed)
    limiters: dict[str, ServerRateLimiter] = {}
    arrivals = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        running = members(now)
        limiters = {name: limiters.get(name) or ServerRateLimiter(router=name) for name in running}
        for name in rng.sample(running, len(running)):
            seen_at = now - known_late_s * (rng.random() < 0.5)
            known = members(max(0.0, seen_at))
            if limiters[name].try_send("s1", limit_per_s=limit(now), routers=known, now=now):
                arrivals.append(now)
    return arrivals


@pytest.mark.parametrize("routers", [1, 2, 5, 25, 330])
@pytest.mark.parametrize("limit", [0.0, 0.3, 2.2, 10.0, 60.0])
def test_limit_holds_for_all_routers_together(routers: int, limit: float) -> None:
    """Guards against a limit that grows with the number of routers."""
    names = [f"r{number}" for number in range(routers)]
    arrivals = send(lambda _: names, lambda _: limit, seconds=9.0, seed=1)
    assert most_in_a_window(arrivals) <= TOLERANCE * limit * WINDOW_S + SLACK_REQUESTS


@pytest.mark.parametrize("limit", [2.0, 10.0])
def test_most_of_the_limit_is_used(limit: float) -> None:
    """Guards against callers that are rejected while the server would take their requests."""
    names = [f"r{number}" for number in range(5)]
    arrivals = send(lambda _: names, lambda _: limit, seconds=20.0, seed=1)
    assert len(arrivals) >= 0.8 * limit * 20.0


@pytest.mark.parametrize("routers", [5, 25])
@pytest.mark.parametrize("limit", [0.5, 2.2, 10.0])
def test_limit_holds_while_routers_restart_and_are_added(routers: int, limit: float) -> None:
    """Guards against bursts when routers do not agree about which of them run."""

    def members(now: float) -> list[str]:
        stopped = int(now / 3.0) % routers
        names = [f"r{number}" for number in range(routers) if number != stopped]
        return names + [f"added{number}" for number in range(min(3, int(now / 5.0)))]

    for seed in range(2):
        arrivals = send(members, lambda _: limit, seconds=12.0, seed=seed, known_late_s=1.0)
        assert most_in_a_window(arrivals) <= TOLERANCE * limit * WINDOW_S + SLACK_REQUESTS


def test_raised_limit_is_used_at_once() -> None:
    """Guards against a router that waits for the interval of the earlier, lower limit."""
    limiter = ServerRateLimiter(router="r1")
    assert limiter.try_send("s1", limit_per_s=0.1, routers=["r1"], now=0.0)
    assert not limiter.try_send("s1", limit_per_s=0.1, routers=["r1"], now=1.0)
    assert limiter.try_send("s1", limit_per_s=10.0, routers=["r1"], now=1.0)


def test_server_that_accepts_nothing_still_gets_a_few_requests() -> None:
    """Guards against a limit of 0 that is never lifted, since no response can tell of it."""
    names = [f"r{number}" for number in range(5)]
    arrivals = send(lambda _: names, lambda _: 0.0, seconds=30.0, seed=1)
    assert 1 <= len(arrivals) <= 10


@given(
    limits=st.lists(st.floats(0.0, 30.0, allow_nan=False), min_size=1, max_size=4),
    routers=st.integers(1, 12),
    seed=st.integers(0, 1000),
)
def test_changing_limits_hold_in_each_window(limits: list[float], routers: int, seed: int) -> None:
    """Guards against bursts when a limit changes."""
    names = [f"r{number}" for number in range(routers)]
    period_s = 4.5

    def limit(now: float) -> float:
        return limits[min(int(now / period_s), len(limits) - 1)]

    arrivals = send(lambda _: names, limit, seconds=period_s * len(limits), seed=seed)
    for index, value in enumerate(limits):
        start = index * period_s
        inside = [at for at in arrivals if start <= at < start + period_s]
        assert most_in_a_window(inside) <= TOLERANCE * value * WINDOW_S + SLACK_REQUESTS
