"""Clock of a gateway."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return monotonic seconds, including the time for which the host was suspended.

    Deadlines and the age of data continue to run while a host is suspended. The wall clock is not
    used because it can jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
