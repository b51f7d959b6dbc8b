"""Exponential backoff after consecutive failures."""

from __future__ import annotations

INITIAL_DELAY_S = 0.25
MAX_DELAY_S = 8.0


class Backoff:
    """Exponential backoff of one peer, during which no requests are sent to it.

    >>> backoff = Backoff()
    >>> backoff.record_failure(now=10.0)
    >>> backoff.is_waiting(now=10.2), backoff.is_waiting(now=10.25)
    (True, False)
    """

    def __init__(self) -> None:
        self._backoff_until = 0.0
        self.failures = 0
        """Consecutive failures, without those during a backoff."""

    def record_failure(self, *, now: float) -> None:
        """Record a failure and start a backoff, twice as long as the previous one up to a maximum.

        Failures during a backoff belong to the failure that started it and are ignored.

        :param now: Monotonic seconds.
        """
        if self.is_waiting(now=now):
            return
        delay_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2 ** min(self.failures, 16))
        self.failures += 1
        self._backoff_until = now + delay_s

    def record_success(self) -> None:
        """End the backoff and reset its duration after a successful request."""
        self.failures = 0
        self._backoff_until = 0.0

    def is_waiting(self, *, now: float) -> bool:
        """Return whether the peer is in backoff."""
        return now < self._backoff_until
