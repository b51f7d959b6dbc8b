"""Answers of the stand-in engine."""

from __future__ import annotations

from cornellead_standins.engine import generate_word
from cornellead_standins.engine import tokenize


def test_next_turn_extends_tokens() -> None:
    """Guards against a returning chat whose prefix can never be found in the cache."""
    first = [{"role": "user", "content": "two seats"}]
    answer = " ".join(generate_word(7, n) for n in range(1, 9))
    second = [*first, {"role": "assistant", "content": answer}, {"role": "user", "content": "ok"}]
    assert tokenize(second)[: len(tokenize(first)) + 9] == [
        *tokenize(first),
        "<assistant>",
        *answer.split(),
    ]
