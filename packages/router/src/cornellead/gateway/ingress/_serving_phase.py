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
