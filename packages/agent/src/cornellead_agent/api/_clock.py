"""Clocks, so that tests pass their own."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic and calendar time."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        ...

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds."""
        ...


class SystemClock:
    """Clocks of the host."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return time.time_ns() // 1_000_000
