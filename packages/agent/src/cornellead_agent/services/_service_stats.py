"""Counters of the service calls of one agent."""

from __future__ import annotations


class ServiceStats:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self.claims = 0
        self.claims_cancelled = 0
        self.claims_void = 0
        """Claims that another process's record made void."""
        self.dispatched = 0
        self.replayed = 0
        self.unresolved = 0
        """Calls whose key has a claim without an answer."""
        self.ownerships = 0
        self.ownerships_lost = 0
