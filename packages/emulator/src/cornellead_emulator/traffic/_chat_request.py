"""Emulated request of a caller."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import PromptPart
from cornellead_emulator.traffic._request_class import RequestClass


class ChatRequest(NamedTuple):
    """One attempt of a caller at a request.

    The retries of a refused request differ from it only in `attempt`.
    """

    number: int
    request_class: RequestClass
    prompt: tuple[PromptPart, ...]
    """Common part, session part and the part that belongs to this request alone."""
    output_tokens: int
    first_sent_at: float
    """Simulated time of the first attempt, in seconds."""
    attempt: int = 1
    """Counted from 1."""

    @property
    def request_id(self) -> str:
        """Id of the request, which is the same for all its attempts."""
        return f"q{self.number}"

    @property
    def deadline(self) -> float:
        """Simulated time at which the caller gives up, in seconds."""
        return self.first_sent_at + self.request_class.deadline_s
