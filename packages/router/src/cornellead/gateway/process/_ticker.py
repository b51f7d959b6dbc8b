"""Work at short intervals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_NOTICED_S = 1.0
"""Delay of a tick from which the process counts as paused."""


class Ticker:
    """Calls a function at an interval and logs when the process was paused.

    :param clock: Returns seconds; counts the time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        name: str,
        interval_s: float,
        action: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self._interval_s = interval_s
        self._action = action
        self._clock = clock

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            before = self._clock()
            await asyncio.sleep(self._interval_s)
            late_s = self._clock() - before - self._interval_s
            if late_s > PAUSE_NOTICED_S:
                structlog.get_logger().warning("process was paused", seconds=round(late_s, 2))
            self._action()
