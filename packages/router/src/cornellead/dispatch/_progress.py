"""State of one request across its attempts."""

from __future__ import annotations


class Progress:
    """What the attempts of one request have led to so far."""

    def __init__(self) -> None:
        self.may_have_run = False
        """Whether an attempt that ended may have run."""
        self.in_flight = False
        """Whether an attempt was sent and not refused."""
        self.waited_s = 0.0
        """Time in the wait queue, in seconds."""
