"""Tests of an engine in trouble that sends bytes without end, in a head, a body or an event."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import pytest
from returns.result import Failure
from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import EventAssembler

TIMEOUT_S = 2.0
MAX_MEMORY_BYTES = 64 << 20
"""Memory that one process may use for control, which a single response must not exceed."""
BLOCK = b"a" * (60 << 10)
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
ENDLESS = {
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK),
    "body": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
}
"""First bytes of a response, and the bytes that follow without end."""


@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_response_of_an_engine_ends_early(kind: str) -> None:
    """Guards against an agent that runs out of memory because of its engine."""
    first, repeated = ENDLESS[kind]

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(first)
        while not exchange.disconnected.is_set():
            await exchange.send(repeated)
            await asyncio.sleep(0)

    server = ScriptedServer(script)
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    tracemalloc.start()
    started_at = time.monotonic()
    try:
        result = await client.fetch("GET", "/", timeout_s=TIMEOUT_S)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        server.stop()
    assert isinstance(result, Failure)
    assert time.monotonic() - started_at < TIMEOUT_S
    assert peak_bytes < MAX_MEMORY_BYTES


def test_endless_event_overflows() -> None:
    """Guards against an event that is buffered without a limit."""
    assembler = EventAssembler(delivered=0)
    blocks = 0
    while not assembler.overflowed and blocks < 100:
        assembler.feed(BLOCK)
        blocks += 1
    assert blocks < 100
