"""Spreads the appends of all partitions of an agent over time."""

from __future__ import annotations

FIRST_INTERVAL_S = 0.002
MAX_INTERVAL_S = 0.1
INCREASE = 1.5
DECREASE = 0.99
INCREASE_EVERY_S = 0.1
"""Appends sent before an increase are still refused after it and must not count again."""


class AppendPacer:
    """Finds the interval between appends at which the log refuses few of them.

    Partitions take turns, so each gets its share of the rate and the calls that wait meanwhile
    share an append. The interval grows with each refusal and shrinks with each success.

    >>> pacer = AppendPacer()
    >>> pacer.take_slot(now=1.0), pacer.take_slot(now=1.0)
    (1.0, 1.0)
    >>> pacer.note_refused(now=1.0)
    >>> [round(pacer.take_slot(now=1.0), 3) for _ in range(2)]
    [1.0, 1.002]
    """

    def __init__(self) -> None:
        self._interval_s = 0.0
        self._next_slot = 0.0
        self._increased_at = -INCREASE_EVERY_S

    def take_slot(self, *, now: float) -> float:
        """Return the time from which the caller may append."""
        slot = max(now, self._next_slot)
        self._next_slot = slot + self._interval_s
        return slot

    def note_accepted(self) -> None:
        """Append a little faster."""
        self._interval_s *= DECREASE
        if self._interval_s < FIRST_INTERVAL_S / 10:
            self._interval_s = 0.0

    def note_refused(self, *, now: float) -> None:
        """Append more slowly."""
        if now - self._increased_at < INCREASE_EVERY_S:
            return
        self._increased_at = now
        grown = max(FIRST_INTERVAL_S, self._interval_s * INCREASE)
        self._interval_s = min(MAX_INTERVAL_S, grown)
