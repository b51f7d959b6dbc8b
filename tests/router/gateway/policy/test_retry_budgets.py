"""Tests of the retry budget that many routers share when a whole service fails."""

from __future__ import annotations

import pytest

from cornellead.gateway.policy import RetryBudgets
from cornellead_core.routing import Bounds

BOUNDS = Bounds(
    drain_grace_s=8.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_minimum=56.0,
    cold_slack=5.0,
    load_factor=2.0,
    config_delay_s=2.0,
)
QUIET_S = 15.0


@pytest.mark.parametrize("routers", [1, 5, 27])
@pytest.mark.parametrize("requests_per_s", [4, 60])
def test_retries_of_all_routers_stay_within_budget(routers: int, requests_per_s: int) -> None:
    """Guards against retries that multiply an overload: unused retries accumulate during a quiet
    period, and then every request asks for a retry."""
    budgets = [RetryBudgets(bounds=BOUNDS) for _ in range(routers)]
    retries: list[float] = []
    for number in range(30 * requests_per_s):
        now = number / requests_per_s
        budget = budgets[number % routers]
        budget.count_request("app", routers=routers, now=now)
        if now > QUIET_S and budget.try_spend("app", routers=routers, now=now):
            retries.append(now)
    allowed = BOUNDS.retry_ratio * requests_per_s * 10 + BOUNDS.retry_minimum
    peak = max(sum(1 for at in retries if start <= at < start + 10.0) for start in retries)
    assert peak <= allowed


@pytest.mark.parametrize("routers", [1, 5, 27])
def test_retries_put_aside_stay_within_budget(routers: int) -> None:
    """Guards against retries that are put aside in a quiet period, refilled, and spent in one
    burst."""
    budgets = [RetryBudgets(bounds=BOUNDS) for _ in range(routers)]
    reserved = [0] * routers
    retries: list[float] = []
    for number in range(30 * 60):
        now = number / 60
        router = number % routers
        budget = budgets[router]
        budget.count_request("app", routers=routers, now=now)
        if now <= QUIET_S:
            reserved[router] += budget.try_reserve("app", routers=routers, now=now)
            continue
        while reserved[router]:
            budget.spend_reserved("app")
            reserved[router] -= 1
            retries.append(now)
        while budget.try_spend("app", routers=routers, now=now):
            retries.append(now)
    allowed = BOUNDS.retry_ratio * 600 + BOUNDS.retry_minimum
    peak = max(sum(1 for at in retries if start <= at < start + 10.0) for start in retries)
    assert peak <= allowed
