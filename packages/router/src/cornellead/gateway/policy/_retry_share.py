"""Share of one router in the retry budgets of the services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.retries import RetryBudget

if TYPE_CHECKING:
    from cornellead_core.routing import Bounds

MARGIN = 0.7
"""Part of the allowed retries that is used: routers count by their own clocks and windows."""
SAVED_REQUESTS = 10
"""Requests whose retries may be saved up, so that the sum over many routers stays in the budget."""


class RetryShare:
    """A retry budget for each service.

    Load: many servers fail at once and each router retries. The budget of a service is shared by
    all routers, so each takes its share of the fixed part and a ratio of its own requests.
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self.bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, service: str, *, routers: int, now: float) -> None:
        """Count a request of a caller.

        :param routers: Number of running routers.
        :param now: Seconds.
        """
        self._budget(service, routers).count_request(now=now)

    def try_spend(self, service: str, *, routers: int, now: float) -> bool:
        """Take one retry from the budget of a service if it has one."""
        return self._budget(service, routers).try_spend(now=now)

    def _budget(self, service: str, routers: int) -> RetryBudget:
        bounds = self.bounds
        rate = MARGIN * bounds.retry_minimum / bounds.retry_window_s / max(1, routers)
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=MARGIN * bounds.retry_ratio, min_per_s=rate, saved_requests=SAVED_REQUESTS
            )
            self._budgets[service] = budget
        budget.min_per_s = rate
        return budget
