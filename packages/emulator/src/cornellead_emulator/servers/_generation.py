"""One request at a model server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.routing import PromptPart


class Generation:
    """Prompt, progress and times of one request.

    :param prompt: Parts of the prompt; the last belongs to this request alone.
    :param output_tokens: Tokens to generate.
    :param urgency: 0 is the most urgent.
    :param on_event: Called at each event of its stream.
    :param on_end: Called with whether the request finished.
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
        """Prompt tokens that are still to be read."""
        self.generated = 0
        self.last_event_at: float | None = None
        self.longest_pause_s = 0.0
        """Longest time between two events."""
        self.fetched_until = 0.0
        """When the copy of its prompt arrives, in seconds."""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts that other requests share."""
        return self.prompt[:-1]

    @property
    def tokens_held(self) -> int:
        """Tokens that it occupies in the memory of its server."""
        return self.prompt_tokens + self.generated

    def note_event(self, now: float) -> None:
        """Count an event of the stream."""
        if self.last_event_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.on_event()
