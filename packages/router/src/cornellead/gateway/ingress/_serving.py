"""What a process is doing for its callers."""

from __future__ import annotations

from cornellead.gateway.ingress._serving_phase import ServingPhase


class Serving:
    """Current phase and the requests in progress."""

    def __init__(self) -> None:
        self.phase = ServingPhase.RUNNING
        self.in_progress = 0

    def advance(self, phase: ServingPhase) -> None:
        """Go to a later phase; an earlier one is ignored."""
        self.phase = max(self.phase, phase)
