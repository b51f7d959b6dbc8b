"""HTTP interface of the stand-in engine."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec
import pytest

if TYPE_CHECKING:
    from litestar import Litestar
    from litestar.testing import TestClient
    from tests.standins.conftest import EngineFactory

QUESTION = [{"role": "user", "content": "which seats are free " * 20}]


def _body(**fields: Any) -> dict[str, Any]:
    return {"model": "chat", "messages": QUESTION, "max_tokens": 8, "stream": True, **fields}


def _events(text: str) -> list[tuple[int, dict[str, Any]]]:
    events = []
    for block in text.split("\n\n"):
        if block.startswith("id: "):
            number, data = block.split("\n", 1)
            events.append((int(number[4:]), msgspec.json.decode(data.removeprefix("data: "))))
    return events


def _text(events: list[tuple[int, dict[str, Any]]]) -> str:
    return "".join(event["choices"][0]["delta"].get("content", "") for _, event in events)


def _chat(engine: TestClient[Litestar], **fields: Any) -> httpx.Response:
    return engine.post("/v1/chat/completions", json=_body(**fields))


def test_streamed_and_unstreamed_answers_are_equal(make_engine: EngineFactory) -> None:
    """Guards against a stream whose text differs from the answer to the same request."""
    engine = make_engine()
    streamed = _chat(engine).text
    whole = _chat(engine, stream=False).json()
    events = _events(streamed)
    assert streamed.endswith("data: [DONE]\n\n")
    assert [number for number, _ in events] == list(range(1, 10))
    assert _text(events) == whole["choices"][0]["message"]["content"]
    assert events[-1][1]["usage"]["completion_tokens"] == 8


def test_resumed_stream_continues_on_another_engine(make_engine: EngineFactory) -> None:
    """Guards against a resumed stream that repeats or skips tokens."""
    complete = _events(_chat(make_engine()).text)
    rest = _events(_chat(make_engine(), resume_from=3).text)
    assert rest[0][0] == 4
    assert _text(complete[:3]) + _text(rest) == _text(complete)


def test_stream_resumes_and_cancels_on_the_same_engine(make_engine: EngineFactory) -> None:
    """Guards against an engine that drops a stream when its client disconnects."""
    engine = make_engine()
    engine.post("/v1/chat/completions", json=_body(), headers={"x-request-id": "r1"})
    resumed = engine.get("/v1/streams/r1?from=7").text
    assert [number for number, _ in _events(resumed)] == [8, 9]
    assert engine.delete("/v1/streams/r1").status_code == 200
    assert engine.get("/v1/streams/r1?from=7").status_code == 404


def test_next_turn_reports_cached_tokens(make_engine: EngineFactory) -> None:
    """Guards against cache reuse that the usage of the response doesn't report."""
    engine = make_engine()
    answer = _chat(engine, stream=False).json()
    usage = answer["usage"]
    messages = [*QUESTION, answer["choices"][0]["message"], {"role": "user", "content": "book"}]
    again = _chat(engine, stream=False, messages=messages).json()["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 0
    previous_turn_tokens = usage["prompt_tokens"] + 1 + usage["completion_tokens"]
    assert again["prompt_tokens_details"]["cached_tokens"] == previous_turn_tokens // 16 * 16


def test_imported_cache_blocks_are_reused(make_engine: EngineFactory) -> None:
    """Guards against a KV cache transfer that has no effect on the importing engine."""
    source, target = make_engine(), make_engine()
    source.post("/v1/chat/completions", json=_body(), headers={"x-cache-key": "00ab"})
    target.put("/kv/00ab", json=source.get("/kv/00ab").json())
    usage = _chat(target, stream=False).json()["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] > 0
    assert target.get("/kv/00ac").status_code == 404


@pytest.mark.parametrize("fault", ["duplicate", "reorder"])
def test_duplicated_or_reordered_stream_contains_all_events(
    make_engine: EngineFactory, fault: str
) -> None:
    """Guards against faults that lose events, which a receiver could not recover."""
    engine = make_engine()
    engine.put("/faults", json={fault: 0.7})
    numbers = [number for number, _ in _events(_chat(engine).text)]
    assert numbers != list(range(1, 10))
    assert sorted(set(numbers)) == list(range(1, 10))


def test_truncated_stream_has_no_done_event(make_engine: EngineFactory) -> None:
    """Guards against a truncated stream that looks complete."""
    engine = make_engine()
    engine.put("/faults", json={"truncate": 1.0})
    with pytest.raises((httpx.HTTPError, AssertionError)):
        assert "[DONE]" in _chat(engine).text


def test_crash_changes_boot_id_and_empties_cache(make_engine: EngineFactory) -> None:
    """Guards against a restart that an agent cannot detect."""
    engine = make_engine(restart_s=0.0)
    _chat(engine)
    engine.put("/faults", json={"slow": 1.0, "crash": True})
    resp = _chat(engine, stream=False, max_tokens=1)
    assert resp.json()["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
    load = engine.get("/load").json()
    assert load["boot_id"] == resp.headers["x-engine-boot"]
    assert load["restarts"] == 1


def test_cold_engine_crashes_under_full_load(make_engine: EngineFactory) -> None:
    """Guards against a cold engine that survives full load and hides a missing cold start limit."""
    engine = make_engine(cold_capacity=2, restart_s=0.0, token_interval_s=0.02)
    with ThreadPoolExecutor(16) as pool:
        statuses = list(pool.map(lambda _: _chat(engine, stream=False).status_code, range(16)))
    assert 500 in statuses
    assert engine.get("/load").json()["restarts"] > 0


def test_engine_warms_up_to_full_load(make_engine: EngineFactory) -> None:
    """Guards against an engine that stays cold although its load grows slowly."""
    engine = make_engine(cold_capacity=4, token_interval_s=0.002)
    for width in (2, 4, 8, 16):
        with ThreadPoolExecutor(width) as pool:
            statuses = pool.map(lambda _: _chat(engine, stream=False).status_code, range(width))
            assert list(statuses) == [200] * width


@pytest.mark.parametrize(("honours", "status", "fence"), [(True, 409, 5), (False, 200, 3)])
def test_stale_fencing_token_is_rejected_if_honoured(
    make_engine: EngineFactory, honours: bool, status: int, fence: int
) -> None:
    """Guards against an engine that ignores its setting ``honours_fence``."""
    engine = make_engine(honours_fence=honours)
    order = {"fence": 5, "kind": "load_model", "value": "draft"}
    assert engine.post("/orders", json=order).status_code == 200
    stale = {"fence": 3, "kind": "unload_model", "value": "draft"}
    assert engine.post("/orders", json=stale).status_code == status
    assert _chat(engine, model="draft").status_code == (200 if honours else 404)


def test_cache_events_have_gaps(make_engine: EngineFactory) -> None:
    """Guards against a feed without gaps, which would leave their handling by agents untested."""
    engine = make_engine()
    engine.put("/faults", json={"cache_event_gap": 0.5})
    for i in range(10):
        _chat(engine, messages=[{"role": "user", "content": f"question {i}"}], max_tokens=20)
    cache_feed = engine.get("/cache/events?from=1&wait_ms=100").json()
    seqs = [event["seq"] for event in cache_feed["events"]]
    assert seqs == sorted(seqs)
    assert 0 < len(seqs) < 20
    assert cache_feed["next"] == seqs[-1] + 1
