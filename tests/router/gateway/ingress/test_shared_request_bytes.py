"""Slow bodies of many callers at once: the sum of what a router holds, not each request."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

SLOW_CALLERS = 30
BODY_BYTES = 4 << 20
MAX_MEMORY_BYTES = 64 << 20
"""A third of what the smallest hosts have, and half of what all bodies have together."""
BODY = b"a" * BODY_BYTES


async def _answer(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"%d" % len(exchange.body)))


async def _send_most(
    gateway: Gateway, number: int, first: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request except for the end of its body."""
    reader, writer = await gateway.connect()
    writer.write(first + encode_request("/unsafe/x", body=BODY, request_id=f"7f{number:02d}")[:-9])
    try:
        async with asyncio.timeout(5.0):
            await writer.drain()
    except (ConnectionError, TimeoutError):
        pass
    return reader, writer


@pytest.mark.parametrize("first", [b"", encode_request("/unsafe/x", request_id="7fff")])
async def test_sum_of_slow_bodies_is_bounded(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]], first: bytes
) -> None:
    """Guards against a router that runs out of memory because of many slow callers, and against a
    sound caller who is rejected for them (issue 38)."""

    async def script(exchange: ScriptedExchange) -> None:
        if exchange.request_id == "7fff":
            await asyncio.sleep(1.5)
        await _answer(exchange)

    server = await start_server(script)
    gateway.configure(server, timeout_s=5.0)
    gateway.limits = LIMITS._replace(
        body_bytes=BODY_BYTES, header_timeout_s=20.0, idle_timeout_s=20.0
    )
    tracemalloc.start()
    try:
        callers = [await _send_most(gateway, number, first) for number in range(SLOW_CALLERS)]
        await asyncio.sleep(0.3)
        held_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held_bytes < MAX_MEMORY_BYTES
    sound = await gateway.call("/unsafe/x", body=BODY, request_id="7ffe")
    assert (sound.status, sound.body) == (200, b"%d" % BODY_BYTES)
    if first:
        answers = [await read_response(reader) for reader, _ in callers]
        assert all(answer.status == 200 for answer in answers)
    rejected = 0
    for reader, writer in callers:
        if reader.at_eof() or reader._buffer:  # type: ignore[attr-defined]
            response = await read_response(reader)
            assert response.status == 503 and "Connection: close" in response.head
            rejected += 1
        writer.close()
    assert SLOW_CALLERS // 2 < rejected < SLOW_CALLERS
    assert {seen.request_id for seen in server.received} <= {"7fff", "7ffe"}
