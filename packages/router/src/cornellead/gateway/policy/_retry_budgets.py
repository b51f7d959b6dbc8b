"""Retry budgets of the services, divided among the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.retries import RetryBudget

if TYPE_CHECKING:
    from cornellead_core.routing import Bounds

USED_BUDGET_SHARE = 0.7
"""Fraction of the allowed retries that the routers use: their clocks and windows are not
aligned."""
MAX_SAVED_REQUESTS = 10
"""Requests whose unused retries may accumulate, so that the total of many routers stays within the
budget."""


class RetryBudgets:
    """Holds this router's part of the retry budget of each service.

    When many servers fail at once, every router retries. All routers share the budget of a service,
    so each router uses an equal part of its fixed rate, plus a fraction of its own requests.
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self.bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, service: str, *, routers: int, now: float) -> None:
        """Add a caller's request to the budget of its service.

        :param routers: Number of running routers.
        :param now: Seconds.
        """
        self._budget(service, routers).count_request(now=now)

    def try_spend(self, service: str, *, routers: int, now: float) -> bool:
        """Consume one retry from the budget of a service; ``False`` if the budget is exhausted."""
        return self._budget(service, routers).try_spend(now=now)

    def has_room(self, service: str, *, routers: int, now: float, retries: int = 1) -> bool:
        """Return whether so many retries are available, without consuming them."""
        return self._budget(service, routers).has_room(now=now, retries=retries)

    def try_reserve(self, service: str, *, routers: int, now: float) -> bool:
        """Put a retry aside for later; ``False`` if the budget is exhausted."""
        return self._budget(service, routers).try_reserve(now=now)

    def release(self, service: str) -> None:
        """Return a retry that was put aside."""
        self._budgets[service].release()

    def spend_reserved(self, service: str) -> None:
        """Consume a retry that was put aside."""
        self._budgets[service].spend_reserved()

    def _budget(self, service: str, routers: int) -> RetryBudget:
        bounds = self.bounds
        min_per_s = (
            USED_BUDGET_SHARE * bounds.retry_minimum / bounds.retry_window_s / max(1, routers)
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=USED_BUDGET_SHARE * bounds.retry_ratio,
                min_per_s=min_per_s,
                saved_requests=MAX_SAVED_REQUESTS,
            )
            self._budgets[service] = budget
        budget.min_per_s = min_per_s
        return budget
