"""Continuous batching: which requests advance in each step, and how long a step takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_standins.engine._sequence import Sequence
    from cornellead_standins.engine._settings import EngineSettings


class Batch:
    """Running and waiting requests.

    Each step decodes one token of every stream whose prefill is done, and spends the prefill
    rate on the others in order of priority and arrival. The step takes longer as the batch exceeds
    the capacity, so the token rate of each stream falls.
    """

    def __init__(self, *, settings: EngineSettings) -> None:
        self._settings = settings
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a place in the batch."""
        return len(self._waiting)

    def submit(self, seq: Sequence) -> None:
        """Queue a request; interactive requests pass waiting batch requests."""
        position = len(self._waiting)
        if not seq.low_priority:
            position = sum(1 for other in self._waiting if not other.low_priority)
        self._waiting.insert(position, seq)

    def cancel(self, request_id: str) -> None:
        """Drop a request."""
        self._running = [seq for seq in self._running if seq.request_id != request_id]
        self._waiting = [seq for seq in self._waiting if seq.request_id != request_id]

    def clear(self) -> None:
        """Drop all requests."""
        self._running.clear()
        self._waiting.clear()

    def admit(self) -> list[Sequence]:
        """Move waiting requests into free slots and return them."""
        free = max(0, self._settings.slots - len(self._running))
        admitted, self._waiting = self._waiting[:free], self._waiting[free:]
        self._running.extend(admitted)
        return admitted

    def step_s(self, *, slow: float) -> float:
        """Return the duration of the next step."""
        excess = max(1.0, len(self._running) / self._settings.capacity)
        return self._settings.token_interval_s * excess * slow

    def step(self, *, duration_s: float) -> list[Sequence]:
        """Advance by one step and return the requests that got a token."""
        budget = self._settings.prefill_tokens_per_s * duration_s
        advanced: list[Sequence] = []
        for seq in sorted(self._running, key=lambda each: each.low_priority):
            if seq.prefill_left > 0:
                spent = min(budget, seq.prefill_left)
                seq.prefill_left -= spent
                budget -= spent
            if seq.prefill_left <= 0:
                seq.generated += 1
                advanced.append(seq)
        self._running = [seq for seq in self._running if not seq.finished]
        return advanced
