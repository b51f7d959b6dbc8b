"""Measurement of an event loop's turns."""

from __future__ import annotations

import asyncio
import time

MAX_TURN_S = 0.1
"""A first token takes several turns, and has 0.63 s in all."""
OBSERVED_S = 1.0
FILL_S = 0.3


def fill_sockets() -> None:
    """Let what peers send fill the sockets, as it does while the event loop is busy."""
    time.sleep(FILL_S)


async def longest_turn_s() -> float:
    """Return the processor time of the longest turn of the running event loop in a second.

    Processor time, since a turn also lasts longer if the threads of the peers, or other processes,
    use the processors.

    :returns: Seconds.
    """
    longest = 0.0
    end = time.monotonic() + OBSERVED_S
    used = time.thread_time()
    while time.monotonic() < end:
        await asyncio.sleep(0)
        longest = max(longest, time.thread_time() - used)
        used = time.thread_time()
    return longest
