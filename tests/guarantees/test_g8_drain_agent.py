"""G8, agent: a planned shutdown interrupts no request in progress."""

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


class PausingEngine(ScriptedEngine):
    """Sends the first event of a stream at once and the rest when the test releases it."""

    def __init__(self) -> None:
        super().__init__()
        self.release_event = asyncio.Event()
        self.remaining = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the first connection in two parts and later ones as scripted."""
        if self.requests:
            await super().serve(reader, writer)
            return
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        writer.write(sse_head() + chunk(event(1)))
        await self.release_event.wait()
        writer.write(self.remaining)
        writer.close()


@pytest.fixture
async def pausing_engine() -> AsyncIterator[PausingEngine]:
    """Return a listening engine whose stream waits for the test."""
    engine = PausingEngine()
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    engine.port = server.sockets[0].getsockname()[1]
    yield engine
    server.close()


def make_drainer(harness: Harness, *, timeout_s: float) -> Drainer:
    """Return the drainer of an agent whose server is a model engine."""
    return Drainer(
        board=harness.board,
        admission=harness.admission,
        service_handler=None,
        active=harness.upstream.active,
        timeout_s=timeout_s,
    )


async def start_stream(harness: Harness) -> asyncio.Task[None]:
    """Start a request and wait for its first event."""
    request_task = asyncio.create_task(harness.send_request())
    while len(harness.messages) < 2:
        await asyncio.sleep(0)
    return request_task


async def test_drain_waits_for_streams_and_refuses_new_requests(
    pausing_engine: PausingEngine,
) -> None:
    """Guards against a drain that interrupts streams or admits new requests (G7)."""
    harness = Harness(port=pausing_engine.port)
    request_task = await start_stream(harness)
    drain_task = asyncio.create_task(make_drainer(harness, timeout_s=60.0).drain())
    await asyncio.sleep(0)
    assert harness.admission.state is ServerState.DRAINING
    assert harness.admission.digest(now=harness.clock.now).own is not None
    refusing_harness = Harness(port=pausing_engine.port)
    refusing_harness.board.write(DRAINING, True)
    await refusing_harness.send_request()
    assert (refusing_harness.status, refusing_harness.fields["x-cl-refusal"]) == (503, "draining")
    assert not drain_task.done()
    pausing_engine.remaining = chunk(event(2, usage=True) + DONE) + LAST_CHUNK
    pausing_engine.release_event.set()
    await request_task
    assert harness.content.endswith(f": end {REQUEST_ID} 3\n\n".encode())
    await drain_task


async def test_streams_are_moved_after_the_drain_timeout(pausing_engine: PausingEngine) -> None:
    """Guards against streams that end after the drain timeout without a ``moved`` comment."""
    harness = Harness(port=pausing_engine.port)
    request_task = await start_stream(harness)
    await make_drainer(harness, timeout_s=0.0).drain()
    await request_task
    assert harness.content == event(1) + f": moved {REQUEST_ID} 1\n\n".encode()
    assert harness.admission.in_flight == 0
    pausing_engine.release_event.set()


async def test_incomplete_responses_are_errors_after_the_drain_timeout(
    pausing_engine: PausingEngine,
) -> None:
    """Guards against a response that is aborted after the drain timeout without an error."""
    harness = Harness(port=pausing_engine.port)
    request_task = asyncio.create_task(harness.send_request(body=b'{"model":"chat"}'))
    while not pausing_engine.requests:
        await asyncio.sleep(0)
    await make_drainer(harness, timeout_s=0.0).drain()
    await request_task
    assert (harness.status, b'"outcome":"unknown"' in harness.content) == (502, True)
    pausing_engine.release_event.set()
