"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _JumpSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs without waiting; the order of callbacks depends on the program only."""

    def __init__(self) -> None:
        self._jump = _JumpSelector()
        super().__init__(self._jump)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jump.now


def run_virtual(coro: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on a new virtual loop and cancel what it leaves behind."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(coro)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        loop.close()
