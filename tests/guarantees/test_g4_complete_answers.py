"""G4: each caller receives the complete response to its own request."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import Script
from tests.router.fake_agent import encode_chunk
from tests.router.fake_agent import encode_done_event
from tests.router.fake_agent import encode_end_comment
from tests.router.fake_agent import encode_event
from tests.router.fake_agent import encode_head
from tests.router.fake_agent import encode_stream_head
from tests.router.fake_agent import never_respond
from tests.router.fake_agent import respond_with
from tests.router.fake_agent import stream_events
from tests.router.harness import running_router

from cornellead.relay import EventStreamFilter

if TYPE_CHECKING:
    from tests.router.harness import Caller

EVENT_COUNT = 5
COMPLETE = b"".join(encode_event(n) for n in range(1, EVENT_COUNT + 1)) + encode_done_event(
    EVENT_COUNT + 1
)
PREFIXES = {b"".join(encode_event(n) for n in range(1, k + 1)) for k in range(EVENT_COUNT + 1)}

chunk_sizes = st.lists(st.integers(1, 400), max_size=12)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Split bytes into pieces of the given sizes and one with the remaining bytes."""
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [piece for piece in [*pieces, data] if piece]


@given(
    order=st.lists(st.integers(1, EVENT_COUNT + 2), max_size=10),
    end_count=st.integers(0, EVENT_COUNT + 2),
    foreign_id=st.booleans(),
    numbered_done=st.booleans(),
    sizes=chunk_sizes,
)
@settings(max_examples=300, derandomize=True)
def test_filter_forwards_only_a_prefix_in_order(
    order: list[int], end_count: int, foreign_id: bool, numbered_done: bool, sizes: list[int]
) -> None:
    """Guards against gaps, duplicates and a false end for any order and any split of the bytes."""
    final = encode_done_event(EVENT_COUNT + 1) if numbered_done else b"data: [DONE]\n\n"
    sent = b"".join(encode_event(n) if n <= EVENT_COUNT else final for n in order)
    comment = b": end %s %d\n\n" % (b"other" if foreign_id else b"mine", end_count)
    stream_filter = EventStreamFilter(request_id="mine")
    out = b"".join(stream_filter.feed(piece) for piece in split(sent + comment, sizes))
    body = out.removesuffix(final)
    assert body == b"".join(encode_event(n) for n in range(1, stream_filter.delivered + 1))
    assert stream_filter.ended or body == out
    if stream_filter.ended:
        assert not foreign_id
        assert end_count in (stream_filter.delivered, stream_filter.delivered + 1)


@pytest.mark.parametrize("data", [b"id: %b\ndata: x\n\n", b": end mine %b\n\n"])
def test_number_of_too_many_digits_is_a_fault_of_the_stream(data: bytes) -> None:
    """Guards against digits of an agent that raise out of the parser of its stream (issue 35)."""
    stream_filter = EventStreamFilter(request_id="mine")
    assert stream_filter.feed(data % (b"1" * 5000)) == b""
    assert stream_filter.fault and not stream_filter.ended


def make_faulty_stream(fault: str, fault_at: int) -> Script:
    """Return a script that sends a stream with a fault at one of its parts.

    :param fault_at: Index of the part; an odd one makes a truncated stream end with a reset.
    """

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        first = request.resume + 1
        parts = [encode_event(n) for n in range(first, EVENT_COUNT + 1)]
        parts += [encode_done_event(EVENT_COUNT + 1), encode_end_comment(request, EVENT_COUNT + 1)]
        index = min(fault_at, len(parts) - 1)
        if fault == "truncated":
            parts[index:] = [parts[index][: len(parts[index]) // 2]]
        elif fault == "cut between events":
            del parts[index:]
        elif fault == "reordered":
            parts[index : index + 2] = reversed(parts[index : index + 2])
        elif fault == "duplicated":
            parts.insert(index, parts[max(0, index - 1)])
        elif fault == "missing event":
            del parts[index]
        elif fault == "end of another request":
            parts[-1] = f": end {'0' * 32} {EVENT_COUNT + 1}\n\n".encode()
        elif fault == "wrong request":
            writer.write(
                encode_stream_head(request, request_id="0" * 32) + encode_chunk(b"".join(parts))
            )
            writer.write(encode_chunk(b""))
            return
        elif fault == "moved":
            parts[index:] = [encode_end_comment(request, first - 1 + index, word="moved")]
        writer.write(encode_stream_head(request) + b"".join(encode_chunk(part) for part in parts))
        if fault in ("truncated", "cut between events") and fault_at % 2:
            await writer.drain()
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(encode_chunk(b""))

    return script


FAULTS = (
    "none",
    "truncated",
    "cut between events",
    "reordered",
    "duplicated",
    "missing event",
    "end of another request",
    "wrong request",
    "moved",
)


@given(
    plan=st.lists(
        st.tuples(st.sampled_from(FAULTS), st.integers(0, EVENT_COUNT + 1)), min_size=1, max_size=4
    ),
    retries=st.integers(0, 4),
)
@settings(max_examples=80, derandomize=True)
def test_faulty_streams_are_resumed_or_reported(plan: list[tuple[str, int]], retries: int) -> None:
    """Guards against a broken stream presented as complete, and against mixing two attempts."""
    remaining = list(plan)

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        fault, fault_at = remaining.pop(0) if remaining else ("none", 0)
        await make_faulty_stream(fault, fault_at)(request, writer)

    async def run() -> Caller:
        agents = [FakeAgent(name, script) for name in ("s1", "s2", "s3", "s4", "s5")]
        async with running_router(
            agents, retry_ratio=float(retries), retry_min_per_s=0.0
        ) as router:
            return await router.caller().chat(x_deadline_ms="3000")

    caller = asyncio.run(run())
    assert caller.complete
    if caller.stream_complete:
        assert caller.body == COMPLETE
        return
    text, separator, _ = caller.body.partition(b"event: error\n")
    if separator:
        assert text in PREFIXES
        assert caller.error["outcome"] == "unknown"
    else:
        assert caller.status >= 500


async def test_broken_stream_resumes_after_the_last_delivered_event() -> None:
    """Guards against a resumed stream that repeats or skips events."""
    agents = [FakeAgent(name, stream_events(EVENT_COUNT)) for name in ("s1", "s2")]
    broken = False

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal broken
        if broken:
            await stream_events(EVENT_COUNT)(request, writer)
            return
        broken = True
        writer.write(
            encode_stream_head(request)
            + encode_chunk(encode_event(1) + encode_event(2) + encode_event(3)[:9])
        )
        await writer.drain()
        writer.transport.abort()
        raise ConnectionResetError

    for agent in agents:
        agent.script = script
    async with running_router(agents) as router:
        caller = await router.caller().chat()
    assert caller.body == COMPLETE
    assert [request.resume for agent in agents for request in agent.requests].count(2) == 1


async def test_connection_is_not_reused_after_a_cancel() -> None:
    """Guards against remaining bytes of a cancelled response that reach the next caller."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        if len(agent.requests) == 1:
            writer.write(encode_stream_head(request) + encode_chunk(encode_event(1)))
            await writer.drain()
            await agent.closed_by_router.wait()
            raise ConnectionResetError
        await stream_events(EVENT_COUNT)(request, writer)

    agent = FakeAgent("s1", script)
    async with running_router([agent]) as router:
        first = router.caller()
        task = asyncio.create_task(first.chat())
        while not first.body:
            first.data_received.clear()
            await first.data_received.wait()
        first.disconnect()
        # The agent detects the closed connection only when it reads or writes.
        await task
        agent.closed_by_router.set()
        second = await router.caller().chat()
    assert not first.stream_complete
    assert second.body == COMPLETE
    assert [request.connection for request in agent.requests] == [0, 1]


@pytest.mark.parametrize("late", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"])
async def test_late_bytes_never_reach_the_next_request(late: bytes) -> None:
    """Guards against a late or duplicated response on a pooled connection."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        body = json.dumps({"id": request.id}).encode()
        writer.write(encode_head(request, content_length=str(len(body))) + body + late)

    agent = FakeAgent("s1", script)
    async with running_router([agent]) as router:
        callers = [await router.caller().chat(stream=False) for _ in range(3)]
    for caller in callers:
        assert json.loads(caller.body)["id"] == caller.headers["x-request-id"]


async def test_response_to_another_request_is_not_delivered() -> None:
    """Guards against delivering a response whose request id does not match."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_head(request, request_id="0" * 32, content_length="2") + b"hi")

    async with running_router(
        [FakeAgent("s1", script)], retry_ratio=0.0, retry_min_per_s=0.0
    ) as router:
        caller = await router.caller().chat(stream=False)
    assert (caller.status, caller.error["outcome"]) == (502, "unknown")


@given(kept_bytes=st.integers(0, 19), chunked=st.booleans())
@settings(max_examples=25, derandomize=True)
def test_truncated_response_is_not_delivered(kept_bytes: int, chunked: bool) -> None:
    """Guards against delivering a truncated response, or one without a content length."""
    body = b'{"text": "complete"}'

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        if chunked:
            writer.write(
                encode_head(request, transfer_encoding="chunked")
                + encode_chunk(body)
                + encode_chunk(b"")
            )
            return
        writer.write(encode_head(request, content_length=str(len(body))) + body[:kept_bytes])
        await writer.drain()
        writer.transport.abort()
        raise ConnectionResetError

    async def run() -> Caller:
        agents = [FakeAgent("s1", script)]
        async with running_router(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
            return await router.caller().chat(stream=False)

    caller = asyncio.run(run())
    assert (caller.status, caller.error["outcome"]) == (502, "unknown")


async def test_two_requests_with_the_same_text_get_their_own_responses() -> None:
    """Guards against matching responses by content."""
    first_may_respond = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        if len(agent.requests) == 1:
            await first_may_respond.wait()
        else:
            first_may_respond.set()
        body = json.dumps({"id": request.id}).encode()
        writer.write(encode_head(request, content_length=str(len(body))) + body)

    agent = FakeAgent("s1", script)
    async with running_router([agent]) as router:
        callers = [router.caller() for _ in range(2)]
        await asyncio.gather(*(caller.chat(stream=False, text="same") for caller in callers))
    assert [caller.status for caller in callers] == [200, 200], [c.body for c in callers]
    ids = [json.loads(caller.body)["id"] for caller in callers]
    assert ids == [caller.headers["x-request-id"] for caller in callers]
    assert ids[0] != ids[1]


async def test_slow_caller_pauses_reading_from_the_agent() -> None:
    """Guards against buffering a whole stream in memory while the caller does not read."""
    large = "x" * 40_000
    written = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal written
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(encode_stream_head(request))
        for number in range(1, 401):
            writer.write(encode_chunk(encode_event(number, large)))
            await writer.drain()
            written = number
        writer.write(
            encode_chunk(encode_done_event(401))
            + encode_chunk(encode_end_comment(request, 401))
            + encode_chunk(b"")
        )

    async with running_router([FakeAgent("s1", script)]) as router:
        caller = router.caller()
        caller.reading.clear()
        task = asyncio.create_task(caller.chat())
        stalled_at = -1
        while stalled_at != written or written == 0:
            stalled_at = written
            await asyncio.sleep(0.2)
        assert written < 400
        caller.reading.set()
        await task
    assert caller.stream_complete
    assert caller.body.count(b"\nid: ") == 400


async def test_request_of_a_disconnected_caller_is_removed() -> None:
    """Guards against requests that stay in progress after their caller disconnected."""
    agent = FakeAgent("s1", never_respond)
    async with running_router([agent]) as router:
        caller = router.caller()
        task = asyncio.create_task(caller.chat())
        while not agent.requests:
            await asyncio.sleep(0.01)
        caller.disconnect()
        await task
        assert len(router.data_path.request_tracker) == 0
        agent.script = respond_with(b"{}")
        assert (await router.caller().chat(stream=False)).status == 200
