"""Deterministic tokens of prompts and answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

_LINES = (
    "the seat of your trip is held until noon and we can move it to a later train if you like",
    "please tell us which part is broken so that the bench can order one or hold the repair",
)
_VOCABULARY = tuple(word for line in _LINES for word in line.split())


def tokenize(messages: Iterable[Mapping[str, Any]]) -> list[str]:
    """Split a conversation into tokens; a longer conversation extends the list.

    >>> tokenize([{"role": "user", "content": "two seats"}])
    ['<user>', 'two', 'seats']
    """
    tokens: list[str] = []
    for message in messages:
        tokens.append(f"<{message.get('role', '')}>")
        content = message.get("content")
        tokens.extend((content if isinstance(content, str) else repr(content)).split())
    return tokens


def hash_prompt(model: str, tokens: Iterable[str]) -> int:
    """Return the seed of the answer to a prompt."""
    hasher = xxhash.xxh3_64(model.encode())
    for token in tokens:
        hasher.update(token.encode() + b"\0")
    return hasher.intdigest()


def generate_word(seed: int, position: int) -> str:
    """Return the token at a position of the answer, counted from 1.

    The number makes answers to different prompts differ in every token, so that a test notices
    when parts of two answers are mixed.
    """
    digest = xxhash.xxh3_64_intdigest(f"{seed}:{position}".encode())
    return f"{_VOCABULARY[digest % len(_VOCABULARY)]}{(digest >> 16) % 1000}"


def answer_text(model: str, prompt: Iterable[str], length: int) -> str:
    """Return the whole answer to a prompt.

    :param prompt: Tokens as `tokenize` returns them.
    :param length: Number of tokens.
    """
    seed = hash_prompt(model, prompt)
    return " ".join(generate_word(seed, position) for position in range(1, length + 1))
