"""G8, router: a planned shutdown interrupts no request in progress."""

from __future__ import annotations

import asyncio

from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import encode_chunk
from tests.router.fake_agent import encode_done_event
from tests.router.fake_agent import encode_end_comment
from tests.router.fake_agent import encode_event
from tests.router.fake_agent import encode_stream_head
from tests.router.fake_agent import never_respond
from tests.router.fake_agent import refuse
from tests.router.fake_agent import stream_events
from tests.router.harness import Caller
from tests.router.harness import RouterHarness
from tests.router.harness import running_router

from cornellead.process import Drainer

EVENT_COUNT = 4
COMPLETE = b"".join(encode_event(n) for n in range(1, EVENT_COUNT + 1)) + encode_done_event(
    EVENT_COUNT + 1
)


async def start_stream(
    router: RouterHarness, agent: FakeAgent
) -> tuple[Caller, asyncio.Task[Caller]]:
    """Start a stream and wait until the agent has received the request."""
    caller = router.caller()
    task = asyncio.create_task(caller.chat())
    while not agent.requests:
        await asyncio.sleep(0.01)
    return caller, task


def make_drainer(router: RouterHarness, timeout_s: float) -> Drainer:
    """Return the drainer of a router, without a minimum duration of the drain."""
    return Drainer(
        board=router.board,
        tracker=router.data_path.request_tracker,
        timeout_s=timeout_s,
        min_drain_s=0.0,
    )


async def test_drain_finishes_streams_and_refuses_new_requests() -> None:
    """Guards against a planned shutdown that interrupts streams or accepts new requests."""
    continue_stream = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_stream_head(request) + encode_chunk(encode_event(1)))
        await continue_stream.wait()
        for number in range(2, EVENT_COUNT + 1):
            writer.write(encode_chunk(encode_event(number)))
        writer.write(
            encode_chunk(encode_done_event(EVENT_COUNT + 1))
            + encode_chunk(encode_end_comment(request, EVENT_COUNT + 1))
            + encode_chunk(b"")
        )

    agent = FakeAgent("s1", script)
    async with running_router([agent]) as router:
        caller, task = await start_stream(router, agent)
        drain_task = asyncio.create_task(make_drainer(router, 30.0).run())
        await asyncio.sleep(0)
        ready = await router.caller().send("/readyz", b"", method="GET")
        refused = await router.caller().chat()
        continue_stream.set()
        assert await drain_task == 0
        await task
    assert ready.status == 503
    assert (refused.status, refused.error["outcome"]) == (503, "not_run")
    assert "retry-after" in refused.headers
    assert caller.body == COMPLETE


async def test_drain_reports_streams_that_exceed_its_timeout() -> None:
    """Guards against a stream that ends after the drain timeout without an error event."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_stream_head(request) + encode_chunk(encode_event(1)))
        await writer.drain()
        await never_respond(request, writer)

    agent = FakeAgent("s1", script)
    async with running_router([agent]) as router:
        caller, task = await start_stream(router, agent)
        while not caller.body:
            await asyncio.sleep(0.01)
        assert await make_drainer(router, 0.0).run() == 1
        await task
    assert caller.complete
    assert not caller.stream_complete
    assert caller.body.startswith(encode_event(1))
    assert caller.error["outcome"] == "unknown"


async def test_late_requests_are_refused_until_the_drain_ends() -> None:
    """Guards against requests that come late in the grace time, are passed on and then cut."""
    agent = FakeAgent("s1", never_respond)
    async with running_router([agent]) as router:
        first, first_task = await start_stream(router, agent)
        drain_task = asyncio.create_task(make_drainer(router, 0.3).run())
        await asyncio.sleep(0)
        late = []
        while not drain_task.done():
            late.append(await router.caller().chat())
            await asyncio.sleep(0.02)
        await first_task
    assert len(late) > 1 and len(agent.requests) == 1
    assert {(caller.status, caller.error["outcome"]) for caller in late} == {(503, "not_run")}
    assert first.error["outcome"] == "unknown"


async def test_drain_reports_a_waiting_request_as_not_run() -> None:
    """Guards against the outcome ``unknown`` for a request that no server accepted."""
    agent = FakeAgent("s1", refuse("over_bound"))
    async with running_router([agent]) as router:
        caller, task = await start_stream(router, agent)
        while not len(router.data_path.wait_queues):
            await asyncio.sleep(0.01)
        await make_drainer(router, 0.0).run()
        await task
    assert (caller.status, caller.error["outcome"]) == (502, "not_run")


async def test_moved_stream_continues_on_another_server() -> None:
    """Guards against a planned agent shutdown that fails a stream or consumes the retry budget."""
    move_count = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal move_count
        if move_count == 2:
            await stream_events(EVENT_COUNT)(request, writer)
            return
        move_count += 1
        number = request.resume + 1
        moved = encode_end_comment(request, number, word="moved")
        writer.write(
            encode_stream_head(request)
            + encode_chunk(encode_event(number))
            + encode_chunk(moved)
            + encode_chunk(b"")
        )

    agents = [FakeAgent(name, script) for name in ("s1", "s2", "s3")]
    async with running_router(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().chat()
    assert caller.body == COMPLETE
    assert sorted(len(agent.requests) for agent in agents) == [1, 1, 1]
