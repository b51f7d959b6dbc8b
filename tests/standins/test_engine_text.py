"""Tokens of prompts and answers of the stand-in engine."""

from __future__ import annotations

from cornellead_standins.engine import ChatBody
from cornellead_standins.engine import Sequence
from cornellead_standins.engine import tokenize


def test_prompt_of_next_turn_extends_previous_tokens() -> None:
    """Guards against turns whose tokens differ in the next prompt, so the cache never hits."""
    first = [{"role": "user", "content": "two seats"}]
    body = ChatBody(model="chat", messages=first)
    seq = Sequence(request_id="a", cache_key="k", body=body, answer_length=8, low_priority=False)
    seq.generated = 8
    answer = " ".join(seq.token_at(n) for n in range(1, 9))
    second = [*first, {"role": "assistant", "content": answer}, {"role": "user", "content": "ok"}]
    assert tokenize(second)[: len(seq.tokens())] == seq.tokens()
