"""Answers of the stand-in engine."""

from __future__ import annotations

from cornellead_standins.engine import ChatBody
from cornellead_standins.engine import Sequence
from cornellead_standins.engine import tokenize


def test_next_turn_extends_tokens() -> None:
    """Guards against a returning chat whose prefix can never be found in the cache."""
    first = [{"role": "user", "content": "two seats"}]
    body = ChatBody(model="chat", messages=first)
    seq = Sequence(request_id="a", cache_key="k", body=body, length=8, batch=False)
    seq.generated = 8
    answer = " ".join(seq.word(n) for n in range(1, 9))
    second = [*first, {"role": "assistant", "content": answer}, {"role": "user", "content": "ok"}]
    assert tokenize(second)[: len(seq.tokens())] == seq.tokens()
