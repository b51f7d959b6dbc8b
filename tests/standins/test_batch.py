"""Continuous batching of the stand-in engine."""

from __future__ import annotations

import pytest

from cornellead_standins.engine import Batch
from cornellead_standins.engine import ChatBody
from cornellead_standins.engine import EngineSettings
from cornellead_standins.engine import Sequence


def _sequence(name: str, *, low_priority: bool = False, prefill: float = 0.0) -> Sequence:
    body = ChatBody(model="chat", messages=[{"role": "user", "content": "hi"}])
    seq = Sequence(
        request_id=name, cache_key=name, body=body, answer_length=4, low_priority=low_priority
    )
    seq.prefill_tokens_left = prefill
    return seq


def _batch(**settings: float) -> Batch:
    return Batch(settings=EngineSettings(listen="", **settings))  # type: ignore[arg-type]


@pytest.mark.parametrize(("running", "expected_s"), [(1, 0.01), (4, 0.01), (8, 0.02), (16, 0.04)])
def test_steps_slow_down_above_capacity(running: int, expected_s: float) -> None:
    """Guards against an engine that keeps its full token rate under overload."""
    batch = _batch(capacity=4, slots=16, token_interval_s=0.01)
    for i in range(running):
        batch.submit(_sequence(str(i)))
    batch.admit()
    assert batch.step_duration_s(slow_factor=1.0) == pytest.approx(expected_s)


def test_interactive_requests_go_ahead_of_waiting_batch_requests() -> None:
    """Guards against an engine that serves waiting requests in order of arrival only."""
    batch = _batch(slots=1)
    for name, low in [("running", False), ("b1", True), ("i1", False), ("b2", True), ("i2", False)]:
        batch.submit(_sequence(name, low_priority=low))
    order: list[str] = []
    while batch.waiting:
        order += [seq.request_id for seq in batch.admit()]
        while batch.running:
            batch.step(duration_s=0.01)
    assert order == ["running", "i1", "i2", "b1", "b2"]


def test_prefill_time_is_proportional_to_uncached_tokens() -> None:
    """Guards against cache reuse that doesn't shorten the time to first token."""
    batch = _batch(prefill_tokens_per_s=1000.0)
    short, long = _sequence("short", prefill=10), _sequence("long", prefill=40)
    batch.submit(short)
    batch.submit(long)
    batch.admit()
    steps = {"short": 0, "long": 0}
    for step in range(1, 10):
        for seq in batch.step(duration_s=0.01):
            steps[seq.request_id] = steps[seq.request_id] or step
    assert steps == {"short": 1, "long": 5}
