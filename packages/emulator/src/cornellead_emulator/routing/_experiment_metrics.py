"""Metrics of one experiment, over all callers, routers and servers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_core.routing import PromptPart
    from cornellead_emulator.traffic import ChatRequest

REREAD_WINDOW_S = 10.0
"""Time after the last use of a shared part within which a further prefill counts as a reread."""


class ExperimentMetrics:
    """Counters and samples of one experiment."""

    def __init__(self) -> None:
        self.submitted = 0
        """Requests of callers, not counting their retries."""
        self.within_target = 0
        """Requests whose time to first token was within the latency target."""
        self.finished = 0
        """Requests that were served completely."""
        self.refused = 0
        """Requests that ended with a refusal."""
        self.failed = 0
        """Requests that were aborted or exceeded their deadline."""
        self.retries = 0
        """Retries by routers because a server no longer ran or rejected the request."""
        self.first_token_s: list[float] = []
        self.submitted_by_class: Counter[str] = Counter()
        self.within_target_by_class: Counter[str] = Counter()
        self.first_token_by_length: dict[int, list[float]] = {}
        """Times to first token, by the power of two that the tokens of the prompt reach."""
        self.max_pauses_s: list[float] = []
        """Longest pause of each finished stream."""
        self.reread_tokens = 0
        """Shared tokens that were prefilled again although they had been in use recently."""
        self.fetched_tokens = 0
        """Shared tokens copied from another server."""
        self.arrivals = 0
        """Requests that reached a server."""
        self.over_bound = 0
        """Requests that reached a server above the allowed load."""
        self._used_at: dict[str, float] = {}

    def record_submitted(self, req: ChatRequest) -> None:
        """Record a new request of a caller."""
        self.submitted += 1
        self.submitted_by_class[req.request_class.name] += 1

    def record_first_token(self, req: ChatRequest, now: float) -> None:
        """Record the first token of a request at a simulated time in seconds."""
        waited_s = now - req.first_sent_at
        self.first_token_s.append(waited_s)
        tokens = sum(part.tokens for part in req.prompt)
        length = 1 << (tokens.bit_length() - 1)
        self.first_token_by_length.setdefault(length, []).append(waited_s)
        if waited_s <= req.request_class.aim_s:
            self.within_target += 1
            self.within_target_by_class[req.request_class.name] += 1

    def record_prefill(self, parts: tuple[PromptPart, ...], cached: int, now: float) -> None:
        """Record which shared parts of a prompt a server has to prefill.

        :param cached: Number of the first parts that are cached.
        """
        for part in parts[cached:]:
            used_at = self._used_at.get(part.part)
            if used_at is not None and now - used_at <= REREAD_WINDOW_S:
                self.reread_tokens += part.tokens
        for part in parts:
            self._used_at[part.part] = now
