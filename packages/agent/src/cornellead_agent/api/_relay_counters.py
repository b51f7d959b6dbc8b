"""Counters of relayed chat completions."""

from __future__ import annotations

import msgspec

from cornellead_core.decoding import UNREADABLE


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptTokensDetails = msgspec.field(
        default_factory=_PromptTokensDetails
    )


class _Completion(msgspec.Struct):
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Completion)


class RelayCounters:
    """Totals of relayed chat completions since the agent started."""

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.completion_tokens = 0
        self.completed = 0
        self.engine_errors = 0
        self.resumes = 0
        self.moved = 0
        self.cancelled = 0
        self.duplicates = 0

    def count_usage(self, content: bytes) -> int | None:
        """Add the token counts in the ``usage`` object of a completion.

        :returns: Cached prompt tokens, or ``None`` when the content is not a completion with usage.
        """
        try:
            usage = _decoder.decode(content).usage
        except UNREADABLE:
            return None
        if usage is None:
            return None
        cached = usage.prompt_tokens_details.cached_tokens
        self.prompt_tokens += usage.prompt_tokens
        self.completion_tokens += usage.completion_tokens
        self.cached_tokens += cached
        return cached
