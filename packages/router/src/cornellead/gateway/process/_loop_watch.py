"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats

INTERVAL_S = 0.05
REPORTED_DELAY_S = 0.1
"""Delay above which a line is logged: a sixth of the time allowed to a first token."""


class LoopWatch:
    """Counts the delays of the event loop, and logs the long ones.

    The processor time of the process tells a busy loop from a host that was suspended or had no
    processor for it.

    :param clock: Returns seconds, including the time for which the host was suspended.
    :param processor_clock: Returns the seconds of processor time that the process has used.
    """

    name = "watch-loop"

    def __init__(
        self,
        *,
        stats: GatewayStats,
        clock: Callable[[], float],
        processor_clock: Callable[[], float] = time.process_time,
    ) -> None:
        self._stats = stats
        self._clock = clock
        self._processor_clock = processor_clock

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self._clock() + INTERVAL_S
            used_s = self._processor_clock()
            await asyncio.sleep(INTERVAL_S)
            self.record(self._clock() - due_at, busy_s=self._processor_clock() - used_s)

    def record(self, delay_s: float, *, busy_s: float) -> None:
        """Count one delay.

        :param delay_s: How late the loop was, in seconds.
        :param busy_s: Processor time that the process used meanwhile, in seconds.
        """
        self._stats.count_loop_delay(max(0.0, delay_s))
        if delay_s <= REPORTED_DELAY_S:
            return
        structlog.get_logger().warning(
            "event loop delayed", delay_ms=round(delay_s * 1000), busy_ms=round(busy_s * 1000)
        )
