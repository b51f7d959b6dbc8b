"""Event queue of a discrete-event simulation, with a simulated clock."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs actions in order of time; actions with the same time run in the order of scheduling.

    >>> queue = EventQueue()
    >>> queue.schedule_after(2.0, lambda: print("second", queue.now))
    >>> queue.schedule_after(1.0, lambda: print("first", queue.now))
    >>> queue.run(until=5.0)
    first 1.0
    second 2.0
    >>> queue.now
    5.0
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Simulated time in seconds."""
        self._actions: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = count()

    def schedule_at(self, time_s: float, action: Callable[[], object]) -> None:
        """Schedule an action for a time in seconds; a time in the past counts as now."""
        heapq.heappush(self._actions, (max(self.now, time_s), next(self._sequence), action))

    def schedule_after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay in seconds."""
        self.schedule_at(self.now + delay_s, action)

    def schedule_every(self, interval_s: float, action: Callable[[], object]) -> None:
        """Schedule an action repeatedly, for the first time after one interval in seconds."""

        def run() -> None:
            action()
            self.schedule_after(interval_s, run)

        self.schedule_after(interval_s, run)

    def run(self, *, until: float) -> None:
        """Run all actions up to and including a time in seconds, then set the clock to it."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = until
