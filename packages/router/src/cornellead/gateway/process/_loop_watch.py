"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats

REPORTED_DELAY_S = 0.1
"""Delay above which a line is logged: a sixth of the 0.63 s that the target allows for a first
token."""


class LoopWatch:
    """Counts the delays of the event loop, and logs the long ones.

    The processor time of the process tells a busy loop from a host that was suspended or had no
    processor for it.

    :param processor_clock: Returns the seconds of processor time that the process has used.
    """

    def __init__(
        self,
        *,
        stats: GatewayStats,
        processor_clock: Callable[[], float] = time.process_time,
    ) -> None:
        self._stats = stats
        self._processor_clock = processor_clock
        self._used_s = processor_clock()

    def record(self, delay_s: float) -> None:
        """Count the delay of one call, which is made at a fixed interval.

        :param delay_s: How late the loop was, in seconds.
        """
        used_s = self._processor_clock()
        busy_s, self._used_s = used_s - self._used_s, used_s
        self._stats.count_loop_delay(max(0.0, delay_s))
        if delay_s <= REPORTED_DELAY_S:
            return
        structlog.get_logger().warning(
            "event loop delayed", delay_ms=round(delay_s * 1000), busy_ms=round(busy_s * 1000)
        )
