"""Delays of the soak's own event loop, which callers, servers and proxies share."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

INTERVAL_S = 0.02
RECORDED_DELAY_S = 0.05


class Delay(NamedTuple):
    """A time at which the loop was late."""

    at: float
    seconds: float


class LoopDelays:
    """Tells whether an answer was late, or only read late."""

    def __init__(self) -> None:
        self._delays: list[Delay] = []

    @property
    def longest_s(self) -> float:
        """Longest delay so far, in seconds."""
        return max((delay.seconds for delay in self._delays), default=0.0)

    def longest_since(self, at: float) -> float:
        """Return the longest delay after a time of the monotonic clock, in seconds."""
        return max((delay.seconds for delay in self._delays if delay.at >= at), default=0.0)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            now = time.monotonic()
            if now - due_at > RECORDED_DELAY_S:
                self._delays.append(Delay(now, now - due_at))
