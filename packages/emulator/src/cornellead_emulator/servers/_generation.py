"""A request at an emulated model server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.routing import PromptPart


class Generation:
    """Progress of a request through prefill and decoding.

    :param prompt: Parts of the prompt; the last belongs to this request alone.
    :param output_tokens: Tokens to generate.
    :param urgency: 0 is the most urgent.
    :param on_event: Called at each event of the response stream.
    :param on_end: Called at the end, with whether all tokens were generated.
    """

    def __init__(
        self,
        *,
        prompt: tuple[PromptPart, ...],
        output_tokens: int,
        urgency: int,
        on_event: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.prompt = prompt
        self.output_tokens = output_tokens
        self.urgency = urgency
        self.on_event = on_event
        self.on_end = on_end
        self.prompt_tokens = sum(part.tokens for part in prompt)
        self.prefill_left = 0
        """Tokens still to prefill; after a preemption, this includes generated ones."""
        self.generated = 0
        """Tokens generated so far."""
        self.last_event_at: float | None = None
        self.longest_pause_s = 0.0
        """Longest time between two successive events."""
        self.fetch_done_at = 0.0
        """Simulated time at which the copy of cached prompt parts is complete, in seconds."""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests share."""
        return self.prompt[:-1]

    @property
    def tokens_held(self) -> int:
        """Tokens that the request occupies in the memory of its server."""
        return self.prompt_tokens + self.generated

    def record_event(self, now: float) -> None:
        """Record an event of the stream at a simulated time in seconds."""
        if self.last_event_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.on_event()
