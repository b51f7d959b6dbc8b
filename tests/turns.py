"""Measurement of an event loop's turns."""

from __future__ import annotations

import asyncio
import time


async def longest_turn_s(duration_s: float) -> float:
    """Return the processor time of the longest turn of the running event loop in a period.

    Processor time, since a turn also lasts longer if the threads of the peers, or other processes,
    use the processors.

    :param duration_s: Seconds of real time.
    :returns: Seconds.
    """
    longest = 0.0
    end = time.monotonic() + duration_s
    used = time.thread_time()
    while time.monotonic() < end:
        await asyncio.sleep(0)
        longest = max(longest, time.thread_time() - used)
        used = time.thread_time()
    return longest
