"""Deterministic tokenizer and text generator; clients can compute the expected answer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

_SENTENCES = (
    "the seat of your trip is held until noon and we can move it to a later train if you like",
    "please tell us which part is broken so that the bench can order one or hold the repair",
)
_VOCABULARY = tuple(word for sentence in _SENTENCES for word in sentence.split())


def tokenize(messages: Iterable[Mapping[str, Any]]) -> list[str]:
    """Split messages into tokens; more messages only append to the list, as a prefix cache needs.

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
    """Return the seed from which the answer to a prompt is generated."""
    hasher = xxhash.xxh3_64(model.encode())
    for token in tokens:
        hasher.update(token.encode() + b"\0")
    return hasher.intdigest()


def generate_token(seed: int, position: int) -> str:
    """Return the token at a position of an answer, counted from 1.

    The number at the end makes answers to different prompts differ in nearly every token, so that
    a test detects parts of another answer.
    """
    digest = xxhash.xxh3_64_intdigest(f"{seed}:{position}".encode())
    return f"{_VOCABULARY[digest % len(_VOCABULARY)]}{(digest >> 16) % 1000}"


def answer_text(model: str, prompt: Iterable[str], length: int) -> str:
    """Return the whole answer to a prompt.

    :param prompt: Tokens of the prompt, from `tokenize`.
    :param length: Number of tokens in the answer.
    """
    seed = hash_prompt(model, prompt)
    return " ".join(generate_token(seed, position) for position in range(1, length + 1))
