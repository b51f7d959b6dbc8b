"""Shutdown phase and load of a process."""

from __future__ import annotations

from cornellead.gateway.ingress._serving_phase import ServingPhase


class ServingState:
    """Phase and number of requests in progress, shared by listener, admission and shutdown."""

    def __init__(self) -> None:
        self.phase = ServingPhase.RUNNING
        self.in_progress = 0
        self.refused = 0
        """Requests that were refused because the process is stopping."""

    def advance(self, phase: ServingPhase) -> None:
        """Enter a phase; ignored if a later one was entered before."""
        self.phase = max(self.phase, phase)
