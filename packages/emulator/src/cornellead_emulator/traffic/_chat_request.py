"""One request of a caller."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import PromptPart
from cornellead_emulator.traffic._request_class import RequestClass


class ChatRequest(NamedTuple):
    """What a caller sends, and when it gives up."""

    number: int
    kind: RequestClass
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    sent_at: float
    """When the caller sent it for the first time, in seconds."""
    attempt: int = 1

    @property
    def request_id(self) -> str:
        """Identity of the request, the same for all its attempts."""
        return f"q{self.number}"

    @property
    def deadline(self) -> float:
        """When the caller gives up, in seconds."""
        return self.sent_at + self.kind.deadline_s
