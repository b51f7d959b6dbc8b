"""Rate limit of appends and weight fetches."""

from __future__ import annotations


class TokenBucket:
    """Token bucket with a burst of one second of its rate, at least one token.

    >>> bucket = TokenBucket(per_s=2.0)
    >>> [bucket.try_acquire(now=now) for now in (0.0, 0.0, 0.0, 0.5)]
    [True, True, False, True]
    """

    def __init__(self, *, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = max(1.0, per_s)
        self._updated_at: float | None = None

    def try_acquire(self, *, now: float) -> bool:
        """Remove one token from the bucket; returns ``False`` if none is available."""
        if self._updated_at is not None:
            refill = (now - self._updated_at) * self._per_s
            self._tokens = min(max(1.0, self._per_s), self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
