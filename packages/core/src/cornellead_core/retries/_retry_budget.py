"""Budget that keeps retries a small share of the requests."""

from __future__ import annotations

BURST_S = 1.0
"""Unused minimum rate that may be saved up."""
MAX_SAVED_REQUESTS = 100
"""Requests whose share of retries may be saved up, so that a quiet hour buys no retry storm."""


class RetryBudget:
    """Token bucket filled by requests and by time.

    :param ratio: Retries earned per request.
    :param min_per_s: Retries earned per second.
    :param saved_requests: Requests whose share of retries may be saved up.

    >>> budget = RetryBudget(ratio=0.5, min_per_s=0.0)
    >>> budget.try_spend(now=0.0)
    False
    >>> budget.count_request(now=0.0)
    >>> budget.count_request(now=0.0)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    """

    def __init__(
        self, *, ratio: float, min_per_s: float, saved_requests: float = MAX_SAVED_REQUESTS
    ) -> None:
        self._ratio = ratio
        self.min_per_s = min_per_s
        self._capacity = max(1.0, min_per_s * BURST_S + ratio * saved_requests)
        self._tokens = min_per_s * BURST_S
        self._filled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def count_request(self, *, now: float) -> None:
        """Earn the share of one request.

        :param now: Monotonic seconds.
        """
        self._fill(now)
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, *, now: float) -> bool:
        """Take one retry from the budget if it has one."""
        self._fill(now)
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            earned = (now - self._filled_at) * self.min_per_s
            self._tokens = min(self._capacity, self._tokens + max(0.0, earned))
        self._filled_at = now
