"""Simulated clock with a queue of actions."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs actions in the order of their times; equal times keep the order of scheduling.

    >>> queue = EventQueue()
    >>> queue.after(2.0, lambda: print("second", queue.now))
    >>> queue.after(1.0, lambda: print("first", queue.now))
    >>> queue.run(until=5.0)
    first 1.0
    second 2.0
    >>> queue.now
    5.0
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Simulated seconds."""
        self._actions: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = count()

    def at(self, time_s: float, action: Callable[[], object]) -> None:
        """Run an action at a time, or at once if that is past."""
        heapq.heappush(self._actions, (max(self.now, time_s), next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Run an action after a delay in seconds."""
        self.at(self.now + delay_s, action)

    def every(self, interval_s: float, action: Callable[[], object]) -> None:
        """Run an action again and again, the first time after one interval."""

        def run() -> None:
            action()
            self.after(interval_s, run)

        self.after(interval_s, run)

    def run(self, *, until: float) -> None:
        """Run all actions up to a time in seconds."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = until
