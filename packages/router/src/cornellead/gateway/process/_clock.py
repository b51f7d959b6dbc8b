"""Clock of a gateway."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds that also count the time for which the host was suspended.

    Deadlines and the age of beliefs go on while a host is suspended; the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
