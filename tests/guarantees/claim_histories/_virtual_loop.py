"""Event loop with a virtual clock that advances to the next timer without waiting."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _VirtualClockSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; the order of callbacks is deterministic."""

    def __init__(self) -> None:
        self._clock_selector = _VirtualClockSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock_selector.now


def run_in_virtual_time(coro: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time and cancel the tasks that are still pending after it."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(coro)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
