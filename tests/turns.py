"""Measurement of an event loop's turns."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TURN_S = 0.1
"""A first token takes several turns, and has 0.63 s in all."""
OBSERVED_S = 1.0
FILL_S = 0.3
LEAD_S = 0.1
BUSY_S = 0.3


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


def arrive_while_busy(arrive: Callable[[], object], *, due_s: float) -> None:
    """Let something arrive just before a timer is due, in a turn that ends after it.

    :param due_s: Seconds until the timer is due.
    """

    def run_turn() -> None:
        arrive()
        time.sleep(BUSY_S)

    asyncio.get_running_loop().call_later(due_s - LEAD_S, run_turn)
