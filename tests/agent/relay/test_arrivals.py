"""Answers of servers that have arrived when a time-out is due, while the event loop was busy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import httpx
import pytest
from returns.result import Success
from tests.agent.harness import DONE
from tests.agent.harness import LAST_CHUNK
from tests.agent.harness import Harness
from tests.agent.harness import chunk
from tests.agent.harness import event
from tests.agent.harness import sse_head

from cornellead_agent.api._chat_relay import EVENT_TIMEOUT_S
from cornellead_agent.relay import EngineClient
from cornellead_agent.services import ServiceRequest
from cornellead_agent.services._server_client import ServerClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_S = 0.5
LEAD_S = 0.1
BUSY_S = 0.4
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
REQUEST = ServiceRequest(
    operation="look",
    team="a",
    key=None,
    key_time_s=None,
    body=b"{}",
    content_type="application/json",
    deadline_s=TIMEOUT_S,
    request_id="r1",
    at_most_once=False,
)


class LateServer:
    """Sends its parts, the last one just before a time-out, in a turn that ends after it."""

    def __init__(self) -> None:
        self.parts = [ANSWER]
        self.timeout_s = TIMEOUT_S
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        *parts, last = self.parts
        writer.write(b"".join(parts))
        await asyncio.sleep(self.timeout_s - LEAD_S)
        writer.write(last)
        time.sleep(BUSY_S)
        await reader.read()
        writer.close()


@pytest.fixture
async def server() -> AsyncIterator[LateServer]:
    """Yield a server that listens."""
    server = LateServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    server.port = listener.sockets[0].getsockname()[1]
    yield server
    listener.close()


async def test_answer_that_arrives_before_the_timeout_is_read(server: LateServer) -> None:
    """Guards against answers of an engine that came in time and that count as late (issue 38)."""
    client = EngineClient(url=f"http://127.0.0.1:{server.port}")
    result = await client.fetch("GET", "/x", timeout_s=TIMEOUT_S)
    assert isinstance(result, Success) and result.unwrap().body == b"{}"


async def test_event_that_arrives_before_the_stream_stalls_is_relayed(server: LateServer) -> None:
    """Guards against a sound stream that is resumed since its agent was busy (issue 38)."""
    server.timeout_s = EVENT_TIMEOUT_S
    server.parts = [
        sse_head() + chunk(event(1)),
        chunk(event(2) + event(3, usage=True) + DONE) + LAST_CHUNK,
    ]
    agent = Harness(port=server.port)
    await agent.send_request()
    assert agent.content.startswith(event(1) + event(2))
    assert agent.counters.resumes == 0


async def test_answer_of_a_service_that_arrives_before_the_deadline_is_read(
    server: LateServer,
) -> None:
    """Guards against an unknown outcome although the answer came in time (issue 38)."""
    async with httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://127.0.0.1:{server.port}")
        result = await sender.send(REQUEST, timeout_s=TIMEOUT_S)
    assert isinstance(result, Success) and result.unwrap().body == b"{}"
