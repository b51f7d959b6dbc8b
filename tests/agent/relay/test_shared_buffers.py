"""Many small responses of an engine that stand still, beside a sound one that is larger."""

from __future__ import annotations

import asyncio

from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer
from tests.router.gateway.scripted_server import encode_chunk

from cornellead_agent.relay import EngineClient
from cornellead_core.buffers import BufferBudget

LIMIT_BYTES = 1 << 20
STANDING_REQUESTS = 40
STANDING_BYTES = 30_000
PIECE = b"a" * 10_000
PIECES = 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def _respond(exchange: ScriptedExchange) -> None:
    if exchange.head.startswith(b"POST /standing"):
        await exchange.send(HEAD + encode_chunk(b"a" * STANDING_BYTES))
        await exchange.disconnected.wait()
        return
    await exchange.send(HEAD)
    for _ in range(PIECES):
        await exchange.send(encode_chunk(PIECE))
        await asyncio.sleep(0.01)
    await exchange.send(b"0\r\n\r\n")


async def test_sound_answer_outlasts_small_ones_that_stand_still() -> None:
    """Guards against a chat answer that is lost because others of its engine hold too much
    (issue 38)."""
    server = ScriptedServer(_respond)
    await server.start()
    budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    client = EngineClient(url=f"http://{server.address}", budget=budget)
    standing = [(await client.open("POST", "/standing")).unwrap() for _ in range(STANDING_REQUESTS)]
    reads = [asyncio.create_task(conn.read_all(limit=16 << 20)) for conn in standing]
    async with asyncio.timeout(5.0):
        while not budget.dropped:
            await asyncio.sleep(0.01)
        conn = (await client.open("POST", "/sound")).unwrap()
        body = await conn.read_all(limit=16 << 20)
    assert body == PIECE * PIECES
    assert budget.used_bytes <= LIMIT_BYTES
    for standing_conn in standing:
        standing_conn.abort()
    assert await asyncio.gather(*reads) == [None] * STANDING_REQUESTS
    server.stop()
