"""Retry budget that limits retries to a fraction of the requests."""

from __future__ import annotations

BURST_S = 1.0
"""Capacity of the bucket for tokens of the minimum rate, in seconds at that rate."""
MAX_SAVED_REQUESTS = 100
"""Requests whose tokens the bucket can hold.

The cap prevents a retry storm on tokens accumulated over a long time without retries.
"""


class RetryBudget:
    """Token bucket of retries, refilled by requests and over time.

    :param ratio: Tokens added per request.
    :param min_per_s: Tokens added per second.
    :param saved_requests: Requests whose tokens the bucket can hold.

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
        self._refilled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def count_request(self, *, now: float) -> None:
        """Add the tokens of one request.

        :param now: Monotonic seconds.
        """
        self._refill(now)
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, *, now: float) -> bool:
        """Consume a token for one retry; return whether one was available."""
        self._refill(now)
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    def has_room(self, *, now: float) -> bool:
        """Return whether a token is available, without consuming it."""
        self._refill(now)
        return self._tokens >= 1.0

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            added = (now - self._refilled_at) * self.min_per_s
            self._tokens = min(self._capacity, self._tokens + max(0.0, added))
        self._refilled_at = now
