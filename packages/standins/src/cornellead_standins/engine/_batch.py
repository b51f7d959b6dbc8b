"""Continuous batching: selects the requests that advance in each step and its duration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_standins.engine._sequence import Sequence
    from cornellead_standins.engine._settings import EngineSettings


class Batch:
    """Running and waiting requests.

    Each step decodes one token of every request whose prefill is complete, and spends its prefill
    budget on the others in order of priority and arrival. A batch above the capacity makes each
    step proportionally longer, so the token rate of each request falls.
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
        """Requests that wait for a slot in the batch."""
        return len(self._waiting)

    def submit(self, seq: Sequence) -> None:
        """Queue a request; an interactive request goes ahead of waiting low-priority requests."""
        position = len(self._waiting)
        if not seq.low_priority:
            position = sum(1 for other in self._waiting if not other.low_priority)
        self._waiting.insert(position, seq)

    def cancel(self, request_id: str) -> None:
        """Remove a running or waiting request."""
        self._running = [seq for seq in self._running if seq.request_id != request_id]
        self._waiting = [seq for seq in self._waiting if seq.request_id != request_id]

    def clear(self) -> None:
        """Remove all requests."""
        self._running.clear()
        self._waiting.clear()

    def admit(self) -> list[Sequence]:
        """Move waiting requests into free slots and return them."""
        free_slots = max(0, self._settings.slots - len(self._running))
        admitted, self._waiting = self._waiting[:free_slots], self._waiting[free_slots:]
        self._running.extend(admitted)
        return admitted

    def step_duration_s(self, *, slow_factor: float) -> float:
        """Return the duration of the next step in seconds.

        :param slow_factor: Factor of the fault ``slow``.
        """
        slowdown = max(1.0, len(self._running) / self._settings.capacity)
        return self._settings.token_interval_s * slowdown * slow_factor

    def step(self, *, duration_s: float) -> list[Sequence]:
        """Advance by one step and return the requests that generated a token."""
        budget = self._settings.prefill_tokens_per_s * duration_s
        advanced: list[Sequence] = []
        for seq in sorted(self._running, key=lambda each: each.low_priority):
            if seq.prefill_tokens_left > 0:
                spent = min(budget, seq.prefill_tokens_left)
                seq.prefill_tokens_left -= spent
                budget -= spent
            if seq.prefill_tokens_left <= 0:
                seq.generated += 1
                advanced.append(seq)
        self._running = [seq for seq in self._running if not seq.finished]
        return advanced
