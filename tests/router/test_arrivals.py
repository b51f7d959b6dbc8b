"""Answers of agents that have arrived at the deadline, while the event loop was busy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import respond_with
from tests.router.fake_agent import stream_events
from tests.router.harness import running_router

if TYPE_CHECKING:
    from tests.router.fake_agent import FakeRequest

DEADLINE_S = 0.6
BUSY_S = 0.6
"""Lasts beyond the deadline and the time that refusals have after it."""
ANSWER = b'"%b"' % (b"a" * 30_000)
"""Takes more than one read."""


@pytest.mark.parametrize("stream", [False, True])
async def test_answer_that_arrives_before_the_deadline_is_delivered(stream: bool) -> None:
    """Guards against answers of agents that came in time and that count as late (issue 38)."""

    answer = stream_events(300) if stream else respond_with(ANSWER)

    async def answer_in_time(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(DEADLINE_S - 0.2)
        await answer(request, writer)
        time.sleep(BUSY_S)

    agent = FakeAgent("s1", answer_in_time)
    async with running_router([agent], default_deadline_s=DEADLINE_S) as router:
        caller = await router.caller().chat(stream=stream)
    assert caller.status == 200
    assert caller.stream_complete if stream else caller.body == ANSWER
