"""How far a planned stop has come."""

from __future__ import annotations

from enum import IntEnum


class ServingPhase(IntEnum):
    """Phases of a process; they only go forward."""

    RUNNING = 0
    LEAVING = 1
    """Not ready any more; new requests are still served, on connections that close afterwards."""
    REFUSING = 2
    """New requests are refused; requests in progress are finished."""
    CLOSING = 3
    """Idle connections are closed."""


class Serving:
    """Current phase and the requests in progress."""

    def __init__(self) -> None:
        self.phase = ServingPhase.RUNNING
        self.in_progress = 0

    def advance(self, phase: ServingPhase) -> None:
        """Go to a later phase; an earlier one is ignored."""
        self.phase = max(self.phase, phase)
