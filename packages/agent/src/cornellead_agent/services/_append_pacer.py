"""Rate control for log appends, shared by all partitions of an agent."""

from __future__ import annotations

INITIAL_INTERVAL_S = 0.002
MAX_INTERVAL_S = 0.1
INCREASE_FACTOR = 1.5
DECREASE_FACTOR = 0.99
INCREASE_COOLDOWN_S = 0.1
"""Minimum time between increases: appends sent before one may still be rejected after it and must
not cause another."""


class AppendPacer:
    """Adapts the interval between appends to the rate that the log accepts.

    The interval grows by a factor when an append is rejected and shrinks slowly with each success.
    Slots are reserved in the order of request, so each partition gets its share of the rate, and
    the calls that wait for a slot are appended in one batch.

    >>> pacer = AppendPacer()
    >>> pacer.reserve_slot(now=1.0), pacer.reserve_slot(now=1.0)
    (1.0, 1.0)
    >>> pacer.record_rejection(now=1.0)
    >>> [round(pacer.reserve_slot(now=1.0), 3) for _ in range(2)]
    [1.0, 1.002]
    """

    def __init__(self) -> None:
        self._interval_s = 0.0
        self._next_slot = 0.0
        self._last_increase_at = -INCREASE_COOLDOWN_S

    def reserve_slot(self, *, now: float) -> float:
        """Return the time from which the caller may append, in event loop seconds."""
        slot = max(now, self._next_slot)
        self._next_slot = slot + self._interval_s
        return slot

    def record_success(self) -> None:
        """Shorten the interval after an accepted append; below a threshold it becomes zero."""
        self._interval_s *= DECREASE_FACTOR
        if self._interval_s < INITIAL_INTERVAL_S / 10:
            self._interval_s = 0.0

    def record_rejection(self, *, now: float) -> None:
        """Lengthen the interval after a rejected append."""
        if now - self._last_increase_at < INCREASE_COOLDOWN_S:
            return
        self._last_increase_at = now
        grown = max(INITIAL_INTERVAL_S, self._interval_s * INCREASE_FACTOR)
        self._interval_s = min(MAX_INTERVAL_S, grown)
