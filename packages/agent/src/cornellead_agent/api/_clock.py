"""Clock interface, which tests replace, and its system implementation."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and of wall clock time."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        ...

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return time.time_ns() // 1_000_000
