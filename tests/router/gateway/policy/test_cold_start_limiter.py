"""Tests of the rate limit for cold servers with many routers that see only their own requests."""

from __future__ import annotations

import pytest

from cornellead.gateway.policy import ColdStartLimiter

RATE_PER_S = 11.0
RATE_TOLERANCE = 1.5


@pytest.mark.parametrize("routers", [1, 2, 3, 4, 5, 12, 60])
@pytest.mark.parametrize("server", ["s1", "s2"])
@pytest.mark.parametrize("burst", [0.0, 1.0, 5.0])
def test_requests_of_all_routers_stay_within_cold_server_limit(
    routers: int, server: str, burst: float
) -> None:
    """Guards against a server that crashes during its cold start under the requests of all
    routers."""
    names = [f"r{number}" for number in range(routers)]
    limiters = [ColdStartLimiter(router=name, burst=burst) for name in names]
    sent = [
        step / 50.0
        for step in range(100)
        for limiter in limiters
        if limiter.try_send(server, rate_per_s=RATE_PER_S, routers=names, now=step / 50.0)
    ]
    peak = max(sum(1 for at in sent if start <= at < start + 1.0) for start in sent)
    assert peak <= RATE_PER_S * RATE_TOLERANCE + burst
    assert len(sent) >= RATE_PER_S


def test_only_router_uses_the_full_rate() -> None:
    """Guards against an idle server whose only router uses just a fraction of the rate."""
    limiter = ColdStartLimiter(router="r1", burst=5.0)
    sent = [
        now
        for now in (step / 100.0 for step in range(200))
        if limiter.try_send("s1", rate_per_s=RATE_PER_S, routers=[], now=now)
    ]
    assert 20 <= len(sent) <= 23


def test_time_of_next_send_is_returned() -> None:
    """Guards against rejecting a request although the server may receive it within the deadline."""
    limiter = ColdStartLimiter(router="r1", burst=5.0)
    assert limiter.try_send("s1", rate_per_s=10.0, routers=["r1"], now=1.0)
    assert limiter.next_send_at("s1", rate_per_s=10.0, routers=["r1"], now=1.0) == 1.1
    assert limiter.next_send_at("s1", rate_per_s=0.0, routers=["r1"], now=1.0) is None
