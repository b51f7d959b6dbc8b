"""Phases of a graceful shutdown."""

from __future__ import annotations

from enum import IntEnum


class ServingPhase(IntEnum):
    """Phases of a process, in the order in which it passes through them."""

    RUNNING = 0
    LEAVING = 1
    """Reported as not ready; new requests are still served, and their connections then closed."""
    REFUSING = 2
    """New requests are refused with 503; requests in progress are finished."""
    CLOSING = 3
    """Idle connections are closed."""
