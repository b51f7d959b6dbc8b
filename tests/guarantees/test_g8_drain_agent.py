"""G8, agent: a planned stop cuts no request in progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.agent.harness import DONE
from tests.agent.harness import LAST_CHUNK
from tests.agent.harness import REQUEST_ID
from tests.agent.harness import Harness
from tests.agent.harness import ScriptedEngine
from tests.agent.harness import chunk
from tests.agent.harness import event
from tests.agent.harness import sse_head

from cornellead_agent.process import Drainer
from cornellead_core.facts import DRAINING
from cornellead_core.load import ServerState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class GatedEngine(ScriptedEngine):
    """Sends the rest of a stream when the test opens the gate."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = asyncio.Event()
        self.rest = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the first connection in two parts and others as scripted."""
        if self.requests:
            await super().serve(reader, writer)
            return
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        writer.write(sse_head() + chunk(event(1)))
        await self.gate.wait()
        writer.write(self.rest)
        writer.close()


@pytest.fixture
async def gated() -> AsyncIterator[GatedEngine]:
    """Return an engine that holds its stream back."""
    engine = GatedEngine()
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    engine.port = server.sockets[0].getsockname()[1]
    yield engine
    server.close()


def make_drainer(harness: Harness, *, timeout_s: float) -> Drainer:
    """Return the drain of an agent without services."""
    return Drainer(
        board=harness.board,
        gate=harness.gate,
        service_handler=None,
        active=harness.upstream.active,
        timeout_s=timeout_s,
    )


async def start_stream(harness: Harness) -> asyncio.Task[None]:
    """Start a request and wait for its first event."""
    asking = asyncio.create_task(harness.ask())
    while len(harness.messages) < 2:
        await asyncio.sleep(0)
    return asking


async def test_drain_waits_for_streams_and_refuses_new_work(gated: GatedEngine) -> None:
    """Guards against a stop that cuts streams, and against new work during the drain (G7)."""
    harness = Harness(port=gated.port)
    asking = await start_stream(harness)
    draining = asyncio.create_task(make_drainer(harness, timeout_s=60.0).drain())
    await asyncio.sleep(0)
    assert harness.gate.state is ServerState.DRAINING
    assert harness.gate.digest(now=harness.clock.now).own is not None
    refused = Harness(port=gated.port)
    refused.board.write(DRAINING, True)
    await refused.ask()
    assert (refused.status, refused.fields["x-cl-refusal"]) == (503, "draining")
    assert not draining.done()
    gated.rest = chunk(event(2, usage=True) + DONE) + LAST_CHUNK
    gated.gate.set()
    await asking
    assert harness.content.endswith(f": end {REQUEST_ID} 3\n\n".encode())
    await draining


async def test_streams_past_the_limit_are_moved(gated: GatedEngine) -> None:
    """Guards against streams that a drain past its limit cuts without a word."""
    harness = Harness(port=gated.port)
    asking = await start_stream(harness)
    await make_drainer(harness, timeout_s=0.0).drain()
    await asking
    assert harness.content == event(1) + f": moved {REQUEST_ID} 1\n\n".encode()
    assert harness.gate.in_flight == 0
    gated.gate.set()


async def test_whole_answers_past_the_limit_are_reported(gated: GatedEngine) -> None:
    """Guards against a whole answer that is cut without an error."""
    harness = Harness(port=gated.port)
    asking = asyncio.create_task(harness.ask(body=b'{"model":"chat"}'))
    while not gated.requests:
        await asyncio.sleep(0)
    await make_drainer(harness, timeout_s=0.0).drain()
    await asking
    assert (harness.status, b'"outcome":"unknown"' in harness.content) == (502, True)
    gated.gate.set()
