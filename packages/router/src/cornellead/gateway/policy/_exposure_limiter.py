"""Limit of the requests that reach a version which has not proved itself."""

from __future__ import annotations

MAX_CREDIT = 2.0
"""Maximum number of requests that may be saved up. Without it, servers that appear late in a
rollout would get all requests of the time before at once."""


class ExposureLimiter:
    """Lets a share of the requests of a service through to the new version.

    Each router limits its own requests, so the bound on the share of all routers holds without
    communication. A router that starts has seen no requests and may expose none.

    >>> limiter = ExposureLimiter()
    >>> for _ in range(10):
    ...     limiter.count_request(share=0.1)
    >>> limiter.allows()
    True
    >>> limiter.count_exposed()
    >>> limiter.allows()
    False
    """

    def __init__(self) -> None:
        self.requests = 0
        """Requests that were sent to the service."""
        self.exposed = 0
        """Requests that were sent to the new version, repeated ones included."""
        self._credit = 0.0

    def allows(self) -> bool:
        """Return whether the next request may go to the new version."""
        # The sum of many shares is inexact.
        return self._credit >= 1.0 - 1e-9

    def allows_total(self, share: float) -> bool:
        """Return whether one more request keeps the new version within a share of all requests."""
        return self.exposed + 1 <= share * self.requests

    def count_request(self, *, share: float) -> None:
        """Count a request that was sent to the service for the first time.

        :param share: Share of the requests that may go to the new version at present.
        """
        self.requests += 1
        self._credit = min(MAX_CREDIT, self._credit + share)

    def count_exposed(self) -> None:
        """Count a request that is about to be sent to the new version."""
        self.exposed += 1
        self._credit -= 1.0
