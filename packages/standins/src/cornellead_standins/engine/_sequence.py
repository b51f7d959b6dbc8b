"""Chat completion request and its progress in the engine."""

from __future__ import annotations

from typing import Any

import msgspec

from cornellead_standins.engine._text import generate_token
from cornellead_standins.engine._text import hash_prompt
from cornellead_standins.engine._text import tokenize


class ChatBody(msgspec.Struct):
    """Body of a chat completion request; unknown fields are ignored.

    ``resume_from`` is the number of tokens that the client already has.
    """

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    resume_from: int = 0


class Sequence:
    """Progress of one request through prefill and decoding.

    :param answer_length: Tokens of the whole answer, including those that the client already has.
    """

    def __init__(
        self,
        *,
        request_id: str,
        cache_key: str,
        body: ChatBody,
        answer_length: int,
        low_priority: bool,
    ) -> None:
        self.request_id = request_id
        self.cache_key = cache_key
        self.model = body.model
        self.prompt = tokenize(body.messages)
        self.seed = hash_prompt(body.model, self.prompt)
        self.answer_length = answer_length
        self.low_priority = low_priority
        self.resumed_from = min(body.resume_from, answer_length)
        """Number of tokens that an earlier stream delivered."""
        self.generated = self.resumed_from
        self.cached_tokens = 0
        self.prefill_tokens_left = 0.0

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated >= self.answer_length

    def token_at(self, position: int) -> str:
        """Return the answer token at a position, counted from 1."""
        return generate_token(self.seed, position)

    def tokens(self) -> list[str]:
        """Return the tokens of prompt and answer so far; the next prompt starts with them."""
        if self.generated == 0:
            return self.prompt
        answer_tokens = [self.token_at(position) for position in range(1, self.generated + 1)]
        return [*self.prompt, "<assistant>", *answer_tokens]
