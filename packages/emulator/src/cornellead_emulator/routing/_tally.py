"""What callers got and what servers did."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_core.routing import PromptPart
    from cornellead_emulator.traffic import ChatRequest

REREAD_WINDOW_S = 10.0
"""Time after its last use within which reading a shared part again counts."""


class Tally:
    """Counts of one experiment."""

    def __init__(self) -> None:
        self.asked = 0
        self.in_aim = 0
        """Requests whose first token came in time."""
        self.finished = 0
        self.refused = 0
        """Requests that ended with a refusal."""
        self.failed = 0
        """Requests that broke off or passed their deadline."""
        self.retries = 0
        """Sends to a second server."""
        self.first_token_s: list[float] = []
        self.pauses_s: list[float] = []
        """Longest pause of each finished stream."""
        self.reread_tokens = 0
        """Shared tokens read again although another server had read them."""
        self.fetched_tokens = 0
        self.arrivals = 0
        """Requests that reached a server."""
        self.over_bound = 0
        """Requests that reached a server above the allowed load."""
        self._used_at: dict[str, float] = {}

    def count_first_token(self, req: ChatRequest, now: float) -> None:
        """Count the first token of a request."""
        waited_s = now - req.sent_at
        self.first_token_s.append(waited_s)
        if waited_s <= req.kind.aim_s:
            self.in_aim += 1

    def count_read(self, parts: tuple[PromptPart, ...], cached: int, now: float) -> None:
        """Count the shared parts of a prompt that a server has to read.

        :param cached: Number of the first parts that need not be read.
        """
        for part in parts[cached:]:
            used_at = self._used_at.get(part.part)
            if used_at is not None and now - used_at <= REREAD_WINDOW_S:
                self.reread_tokens += part.tokens
        for part in parts:
            self._used_at[part.part] = now
