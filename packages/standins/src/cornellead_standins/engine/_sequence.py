"""One request inside the engine."""

from __future__ import annotations

from typing import Any

import msgspec

from cornellead_standins.engine._text import generate_word
from cornellead_standins.engine._text import hash_prompt
from cornellead_standins.engine._text import tokenize


class ChatBody(msgspec.Struct):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    resume_from: int = 0


class Sequence:
    """Progress of one request through prefill and decoding.

    :param length: Tokens of the whole answer.
    """

    def __init__(
        self, *, request_id: str, cache_key: str, body: ChatBody, length: int, batch: bool
    ) -> None:
        self.request_id = request_id
        self.cache_key = cache_key
        self.model = body.model
        self.prompt = tokenize(body.messages)
        self.seed = hash_prompt(body.model, self.prompt)
        self.length = length
        self.low_priority = batch
        self.first = min(body.resume_from, length)
        """Tokens that an earlier stream delivered."""
        self.generated = self.first
        self.cached_tokens = 0
        self.prefill_left = 0.0

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated >= self.length

    def word(self, position: int) -> str:
        """Return the token of a position, counted from 1."""
        return generate_word(self.seed, position)

    def tokens(self) -> list[str]:
        """Return prompt and generated tokens as the next turn repeats them."""
        if self.generated == 0:
            return self.prompt
        words = [self.word(position) for position in range(1, self.generated + 1)]
        return [*self.prompt, "<assistant>", *words]
