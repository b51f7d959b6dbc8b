"""Engines that end, or are killed, while they answer without a length or chunks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Success
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead_agent.relay import EngineClient

if TYPE_CHECKING:
    from tests.router.gateway.scripted_server import ScriptedExchange

CACHE = bytes(range(256)) * 4


async def _fetch(body: bytes, *, end: str) -> bytes | None:
    """Return what a client takes for the whole body of an engine that ends behind these bytes."""

    async def respond(exchange: ScriptedExchange) -> None:
        if end == "leaving":
            server.stop()
        await exchange.begin_without_length()
        await exchange.send(body)
        await asyncio.sleep(0.01)
        if end == "killed":
            await server.end(listener_delay_s=0.01)
        exchange.writer.close()

    server = ScriptedServer(respond)
    await server.start()
    client = EngineClient(url=f"http://{server.address}", leaving=lambda: end == "leaving")
    fetched = await client.fetch("GET", "/kv/1", timeout_s=2.0)
    server.stop()
    return fetched.unwrap().body if isinstance(fetched, Success) else None


@pytest.mark.parametrize("size", [0, 300, len(CACHE)])
async def test_response_of_a_killed_engine_is_incomplete(size: int) -> None:
    """Guards against part of a prompt cache that another server gets as the whole."""
    assert await _fetch(CACHE[:size], end="killed") is None


@pytest.mark.parametrize("body", [b"", CACHE])
@pytest.mark.parametrize("end", ["sound", "leaving"])
async def test_whole_response_that_ends_with_its_connection_is_complete(
    end: str, body: bytes
) -> None:
    """Guards against a whole response, also the last one of an engine that leaves, that is lost
    since it has no length."""
    assert await _fetch(body, end=end) == body
