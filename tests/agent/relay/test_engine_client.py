"""Engines that send a copy of an earlier response, late, on a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Success

from cornellead_agent.relay import EngineClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RESPONSE = b"HTTP/1.1 %d OK\r\nContent-Length: 6\r\n\r\n%b"


class RepeatingEngine:
    """Answers each request with its number, after a copy of the connection's previous answer."""

    def __init__(self) -> None:
        self.client = EngineClient(url="http://127.0.0.1:1")
        self.connections = 0
        self.requests = 0
        self.copies_while_idle = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        self.connections += 1
        earlier = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                answer = RESPONSE % (429 if self.requests == 1 else 200, b"%06d" % self.requests)
                writer.write((b"" if self.copies_while_idle else earlier) + answer)
                earlier = answer
                if self.copies_while_idle:
                    await asyncio.sleep(0.02)
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def fetch(self, *, shared: bool = False) -> bytes:
        """Send a request and return the body of the response."""
        fetched = await self.client.fetch("GET", "/x", timeout_s=1.0, shared=shared)
        assert isinstance(fetched, Success)
        return bytes(fetched.unwrap().body)


@pytest.fixture
async def engine() -> AsyncIterator[RepeatingEngine]:
    """Yield a listening engine and a client for it."""
    engine = RepeatingEngine()
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    engine.client = EngineClient(url=f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
    yield engine
    engine.client.close()
    server.close()


async def test_copy_of_a_refusal_does_not_answer_the_next_request(engine: RepeatingEngine) -> None:
    """Guards against a chat that is reported as not run since the engine repeats the refusal of an
    earlier one, and against one that gets the answer to another."""
    assert [await engine.fetch() for _ in range(3)] == [b"000001", b"000002", b"000003"]
    assert engine.connections == 3


async def test_chat_does_not_leave_its_connection_to_periodic_reads(
    engine: RepeatingEngine,
) -> None:
    """Guards against a copy of a chat's answer that is taken for a load report."""
    await engine.fetch()
    assert await engine.fetch(shared=True) == b"000002"


async def test_shared_connection_closes_when_bytes_arrive_between_requests(
    engine: RepeatingEngine,
) -> None:
    """Guards against the reuse of a connection on which the engine sends unasked bytes."""
    engine.copies_while_idle = True
    assert await engine.fetch(shared=True) == b"000001"
    await asyncio.sleep(0.1)
    assert await engine.fetch(shared=True) == b"000002"
    assert engine.connections == 2
