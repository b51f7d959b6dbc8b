"""Periodic calls, with detection of pauses of the process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_THRESHOLD_S = 1.0
"""Delay of a call above which the process counts as paused."""


class Ticker:
    """Calls a function at a fixed interval, and logs a warning after a pause of the process.

    :param clock: Returns seconds, including the time for which the host was suspended.
    :param on_delay: Called with the delay of each call in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        interval_s: float,
        action: Callable[[], None],
        clock: Callable[[], float],
        on_delay: Callable[[float], None] = lambda _: None,
    ) -> None:
        self.name = name
        self._interval_s = interval_s
        self._action = action
        self._clock = clock
        self._on_delay = on_delay

    async def run(self) -> None:
        """Call the function at each interval until cancelled."""
        while True:
            started_at = self._clock()
            await asyncio.sleep(self._interval_s)
            delay_s = self._clock() - started_at - self._interval_s
            self._on_delay(delay_s)
            if delay_s > PAUSE_THRESHOLD_S:
                structlog.get_logger().warning("process was paused", seconds=round(delay_s, 2))
            self._action()
