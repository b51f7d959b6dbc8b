"""Counters of the service calls of one agent."""

from __future__ import annotations


class ServiceStats:
    """Counters since the start of the process, summed over all partitions."""

    def __init__(self) -> None:
        self.claims = 0
        self.claims_cancelled = 0
        self.claims_void = 0
        """Claims that were void when read back, such as after another process's epoch or claim."""
        self.dispatched = 0
        self.replayed = 0
        self.unresolved = 0
        """Calls whose key has an earlier claim for which no response was recorded in time."""
        self.ownerships = 0
        """Partitions whose ownership was acquired, counted each time."""
        self.ownerships_lost = 0
