"""Relay of chat completions between router and engine, with a scripted engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.agent.harness import DONE
from tests.agent.harness import LAST_CHUNK
from tests.agent.harness import REQUEST_ID
from tests.agent.harness import chunk
from tests.agent.harness import event
from tests.agent.harness import sse_head

from cornellead_agent.facts import MOVE_STREAMS

if TYPE_CHECKING:
    from tests.agent.harness import Harness
    from tests.agent.harness import ScriptedEngine

END_COMMENT = f": end {REQUEST_ID} 4\n\n".encode()
COMPLETE_STREAM = event(1) + event(2) + event(3, usage=True) + b"id: 4\n" + DONE + END_COMMENT


async def test_complete_stream_ends_with_the_end_comment(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a complete stream that routers cannot distinguish from a broken one."""
    body = event(1) + event(2) + event(3, usage=True) + DONE
    engine.prepare_response(sse_head(), chunk(body[:30]), chunk(body[30:]), LAST_CHUNK)
    await harness.send_request()
    assert (harness.status, harness.content) == (200, COMPLETE_STREAM)
    assert harness.fields["x-cl-request"] == REQUEST_ID
    assert (harness.admission.in_flight, harness.counters.cached_tokens) == (0, 4)


async def test_broken_stream_resumes_on_the_same_engine(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a lost engine connection that ends the stream, and against repeated events."""
    engine.prepare_response(sse_head(), chunk(event(1) + event(2)[:10]))
    engine.prepare_response(sse_head(), chunk(event(1) + event(2)))
    engine.prepare_response(sse_head(), chunk(event(2) + event(3, usage=True) + DONE), LAST_CHUNK)
    await harness.send_request()
    assert harness.content == COMPLETE_STREAM
    assert b"GET /v1/streams/00112233445566aa?from=1 " in engine.requests[2]


async def test_stream_that_cannot_be_resumed_has_no_end_comment(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a truncated stream that looks complete."""
    engine.prepare_response(sse_head(), chunk(event(1)), LAST_CHUNK)
    await harness.send_request()
    assert harness.content == event(1)
    assert harness.cold_limit.value == 2
    assert harness.admission.in_flight == 0


async def test_stream_survives_silences_of_its_engine(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a stream that is cut or resumed since its sound engine is silent for a second
    before the head, before the first event or between events."""
    engine.part_delay_s = 1.3
    body = event(1) + event(2)
    engine.prepare_response(
        b"", sse_head(), chunk(body), chunk(event(3, usage=True) + DONE), LAST_CHUNK
    )
    await harness.send_request()
    # The engine sleeps after its last part, too.
    await asyncio.sleep(engine.part_delay_s + 0.1)
    assert harness.content == COMPLETE_STREAM
    assert (len(engine.requests), harness.counters.resumes) == (1, 0)


@pytest.mark.parametrize("delivered", [3, 4])
async def test_resume_near_the_end_sends_the_final_marker_once(
    engine: ScriptedEngine, harness: Harness, delivered: int
) -> None:
    """Guards against a missing or repeated final marker in a stream that broke near its end.

    With 4 delivered events the caller already has the marker and lacks only the end comment.
    """
    remaining = (event(3, usage=True) if delivered == 3 else b"") + DONE
    engine.prepare_response(sse_head(), chunk(remaining), LAST_CHUNK)
    await harness.send_request(fields=[("x-cl-resume", str(delivered))])
    assert harness.content == (b"id: 4\n" + DONE if delivered == 3 else b"") + END_COMMENT
    assert b'"resume_from":%d}' % (delivered - 1) in engine.requests[0]


@pytest.mark.parametrize("stream", [b"true", b"false"])
async def test_engine_request_is_cancelled_when_the_router_disconnects(
    engine: ScriptedEngine, harness: Harness, stream: bytes
) -> None:
    """Guards against engines that keep generating a response that nobody reads."""
    engine.prepare_response(sse_head(), chunk(event(1)), close=False)
    request_task = asyncio.create_task(
        harness.send_request(body=b'{"model":"chat","stream":%s}' % stream)
    )
    await engine.received.wait()
    harness.disconnected.set()
    await request_task
    assert engine.requests[-1].startswith(b"DELETE /v1/streams/00112233445566aa ")
    assert (harness.admission.in_flight, engine.disconnects) == (0, 1)


async def test_truncated_engine_response_is_an_error(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a truncated body that is forwarded with status 200."""
    engine.prepare_response(b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{"usage":')
    await harness.send_request(body=b'{"model":"chat"}')
    assert harness.status == 502
    assert b'"outcome":"unknown"' in harness.content


async def test_refused_engine_connection_is_reported_as_not_run(harness: Harness) -> None:
    """Guards against the outcome ``unknown`` when no byte reached the engine."""
    harness.client._port = 1
    await harness.send_request()
    assert (harness.status, harness.fields["x-cl-refusal"]) == (503, "server_down")
    assert b'"outcome":"not_run"' in harness.content


async def test_stream_ends_with_moved_comment_after_the_drain_timeout(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a drain that ends a stream without a request to resume it (guarantee G8)."""
    engine.prepare_response(sse_head(), chunk(event(1)), close=False)
    request_task = asyncio.create_task(harness.send_request())
    while len(harness.messages) < 2:
        await asyncio.sleep(0)
    harness.board.write(MOVE_STREAMS, True)
    harness.upstream.active.abort_all()
    await request_task
    assert harness.content == event(1) + f": moved {REQUEST_ID} 1\n\n".encode()
    assert engine.requests[-1].startswith(b"DELETE ")


async def test_unsigned_request_is_refused(engine: ScriptedEngine, harness: Harness) -> None:
    """Guards against requests from processes without the fleet key."""
    await harness.send_request(authentic=False)
    assert (harness.status, harness.fields["x-cl-refusal"]) == (401, "unauthorized")
    assert engine.requests == []


@pytest.mark.parametrize("body", [b"", b"[]", b'{"stream":true}', b"{"])
async def test_malformed_body_is_rejected(
    engine: ScriptedEngine, harness: Harness, body: bytes
) -> None:
    """Guards against forwarding a body that is not a JSON object with a model."""
    await harness.send_request(body=body)
    assert harness.status == 400
    assert (engine.requests, harness.admission.in_flight) == ([], 0)


async def test_stream_that_sends_bytes_without_events_is_resumed(
    engine: ScriptedEngine, harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stalled engine stream that never ends since a byte arrives now and then."""
    monkeypatch.setattr("cornellead_agent.api._chat_relay.EVENT_TIMEOUT_S", 0.3)
    comments = [chunk(b": wait\n\n")] * 30
    engine.part_delay_s = 0.1
    engine.prepare_response(sse_head(), chunk(event(1)), *comments, close=False)
    engine.prepare_response(
        sse_head(), chunk(event(1) + event(2) + event(3, usage=True) + DONE), LAST_CHUNK
    )
    async with asyncio.timeout(2.0):
        await harness.send_request()
    assert harness.content == COMPLETE_STREAM


async def test_engine_that_pauses_between_events_is_not_cut(
    engine: ScriptedEngine, harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sound but slow engine stream that is resumed or cut."""
    monkeypatch.setattr("cornellead_agent.api._chat_relay.EVENT_TIMEOUT_S", 0.3)
    engine.part_delay_s = 0.15
    parts = [chunk(event(1)), chunk(event(2)), chunk(event(3, usage=True)), chunk(DONE)]
    engine.prepare_response(sse_head(), *parts, LAST_CHUNK)
    await harness.send_request()
    assert harness.content == COMPLETE_STREAM
    assert len(engine.requests) == 1
