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

    A retry that may be needed later can be put aside. Until it is released or spent, the bucket
    holds one token less:

    >>> budget = RetryBudget(ratio=0.0, min_per_s=1.0)
    >>> budget.try_reserve(now=0.0), budget.has_room(now=9.0)
    (True, False)
    >>> budget.release()
    >>> budget.has_room(now=9.0)
    True
    """

    def __init__(
        self, *, ratio: float, min_per_s: float, saved_requests: float = MAX_SAVED_REQUESTS
    ) -> None:
        self._ratio = ratio
        self.min_per_s = min_per_s
        self._capacity = max(1.0, min_per_s * BURST_S + ratio * saved_requests)
        self._tokens = min_per_s * BURST_S
        self._reserved = 0
        self._refilled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def count_request(self, *, now: float) -> None:
        """Add the tokens of one request.

        :param now: Monotonic seconds.
        """
        self._refill(now)
        self._add(self._ratio)

    def try_spend(self, *, now: float) -> bool:
        """Consume a token for one retry; return whether one was available."""
        self._refill(now)
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    def has_room(self, *, now: float, retries: int = 1) -> bool:
        """Return whether tokens for so many retries are available, without consuming them."""
        self._refill(now)
        return self._tokens >= retries

    def try_reserve(self, *, now: float) -> bool:
        """Put a token aside for a retry that may be needed; return whether one was available."""
        if not self.has_room(now=now):
            return False
        self._tokens -= 1.0
        self._reserved += 1
        return True

    def release(self) -> None:
        """Return a token that was put aside to the bucket."""
        self._reserved -= 1
        self._add(1.0)

    def spend_reserved(self) -> None:
        """Consume a token that was put aside."""
        self._reserved -= 1
        self.spent += 1

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._add(max(0.0, (now - self._refilled_at) * self.min_per_s))
        self._refilled_at = now

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._capacity - self._reserved, self._tokens + tokens)
