"""Token bucket."""

from __future__ import annotations


class RateLimit:
    """Token bucket that holds one second of its rate.

    >>> limit = RateLimit(per_s=2.0)
    >>> [limit.take(now=0.0), limit.take(now=0.0), limit.take(now=0.0), limit.take(now=0.5)]
    [True, True, False, True]
    """

    def __init__(self, *, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = max(1.0, per_s)
        self._updated_at: float | None = None

    def take(self, *, now: float) -> bool:
        """Take one token if there is one."""
        if self._updated_at is not None:
            refill = (now - self._updated_at) * self._per_s
            self._tokens = min(max(1.0, self._per_s), self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
