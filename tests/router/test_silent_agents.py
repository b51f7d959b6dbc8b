"""Hosts of engines that fall silent for a moment and go on, beside several routers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import encode_chunk
from tests.router.fake_agent import encode_done_event
from tests.router.fake_agent import encode_end_comment
from tests.router.fake_agent import encode_event
from tests.router.fake_agent import encode_stream_head
from tests.router.harness import running_router

if TYPE_CHECKING:
    from tests.router.fake_agent import FakeRequest

SILENCE_S = 1.3
"""Sound servers may be silent for about a second."""
EVENT_COUNT = 4
ROUTERS = 3
STREAMS_PER_ROUTER = 4
COMPLETE = b"".join(encode_event(n) for n in range(1, EVENT_COUNT + 1)) + encode_done_event(
    EVENT_COUNT + 1
)


@pytest.mark.parametrize("events_before", [None, 0, 2])
async def test_streams_of_all_routers_survive_a_silence_of_their_servers(
    events_before: int | None,
) -> None:
    """Guards against streams that are cut or begun anew since all servers are silent for a second.

    ``None`` is a silence before the head of the response.
    """

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        first = request.resume + 1
        events = [encode_event(number) for number in range(first, EVENT_COUNT + 1)]
        parts = [encode_stream_head(request), *map(encode_chunk, events)]
        parts.append(encode_chunk(encode_done_event(EVENT_COUNT + 1)))
        parts.append(encode_chunk(encode_end_comment(request, EVENT_COUNT + 1)))
        silent_before = 0 if events_before is None else events_before + 1
        for number, part in enumerate(parts):
            if number == silent_before:
                await writer.drain()
                await asyncio.sleep(SILENCE_S)
            writer.write(part)
        writer.write(encode_chunk(b""))

    agents = [FakeAgent(name, script) for name in ("s1", "s2")]
    async with contextlib.AsyncExitStack() as stack:
        routers = [await stack.enter_async_context(running_router(agents)) for _ in range(ROUTERS)]
        callers = await asyncio.gather(
            *(
                router.caller().chat(text=f"chat {number}")
                for router in routers
                for number in range(STREAMS_PER_ROUTER)
            )
        )
    assert [caller.body for caller in callers] == [COMPLETE] * len(callers)
    assert sum(len(agent.requests) for agent in agents) == len(callers)
