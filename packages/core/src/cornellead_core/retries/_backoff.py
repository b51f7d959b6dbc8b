"""Exponential backoff after repeated failures."""

from __future__ import annotations

FIRST_S = 0.25
LONGEST_S = 8.0


class Backoff:
    """Time during which a peer is not asked after it failed.

    >>> backoff = Backoff()
    >>> backoff.fail(now=10.0)
    >>> backoff.waiting(now=10.2), backoff.waiting(now=10.25)
    (True, False)
    """

    def __init__(self) -> None:
        self._until = 0.0
        self.failures = 0
        """Failures without a success since."""

    def fail(self, *, now: float) -> None:
        """Count a failure; failures during the wait belong to the same incident.

        :param now: Monotonic seconds.
        """
        if self.waiting(now=now):
            return
        delay = min(LONGEST_S, FIRST_S * 2 ** min(self.failures, 16))
        self.failures += 1
        self._until = now + delay

    def succeed(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self._until = 0.0

    def waiting(self, *, now: float) -> bool:
        """Return whether the peer should be left alone."""
        return now < self._until
