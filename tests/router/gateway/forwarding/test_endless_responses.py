"""Tests of servers in trouble that send bytes without end, in a head or a body."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

ROUTE_TIMEOUT_S = 2.0
"""Timeout of the routes that the harness configures."""
ANSWER_SLACK_S = 0.5
"""Time after the route's timeout within which every request has its final answer."""
MAX_MEMORY_BYTES = 64 << 20
"""A quarter of the memory of the smallest host, for all requests together."""
CONCURRENT_REQUESTS = 12
BLOCK = b"a" * (60 << 10)

STATUS = b"HTTP/1.1 200 OK\r\n"
HEADERS = b"X-Request-Id: 7f01\r\nX-Response-Seal: seal\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)

ENDLESS = {
    "header value": (STATUS + b"X-Long: ", BLOCK),
    "header lines": (STATUS, b"X-Line: a\r\n" * 5000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "chunked body": (STATUS + HEADERS + CHUNKED, CHUNK),
    "body with a length": (STATUS + HEADERS + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "body until close": (STATUS + HEADERS + b"\r\n", BLOCK),
    "chunk extension": (STATUS + HEADERS + CHUNKED + b"5;", BLOCK),
    "trailer": (STATUS + HEADERS + CHUNKED + b"0\r\nX-Long: ", BLOCK),
    "response to another request": (STATUS + b"X-Request-Id: 0000\r\n" + CHUNKED, CHUNK),
    "refusal": (
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: 7f01\r\n" + CHUNKED,
        CHUNK,
    ),
    "no protocol": (b"", b"\x00" + BLOCK),
}
"""First bytes of a response, and the bytes that follow without end."""


async def _send_without_end(exchange: ScriptedExchange, first: bytes, repeated: bytes) -> None:
    await exchange.send(first)
    while not exchange.disconnected.is_set():
        await exchange.send(repeated)
        await asyncio.sleep(0)


async def _call_all(gateway: Gateway, path: str) -> tuple[list[CallerResponse], float, int]:
    """Return the responses to concurrent requests, the time they took, and the peak memory."""
    tracemalloc.start()
    started_at = time.monotonic()
    try:
        async with asyncio.timeout(ROUTE_TIMEOUT_S + ANSWER_SLACK_S):
            responses = await asyncio.gather(
                *(gateway.call(path) for _ in range(CONCURRENT_REQUESTS))
            )
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    return responses, time.monotonic() - started_at, peak_bytes


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_response_ends_in_time_and_in_bounded_memory(
    gateway: Gateway,
    start_server: Callable[[Script], Awaitable[ScriptedServer]],
    kind: str,
    path: str,
) -> None:
    """Guards against a router that runs out of memory, or a caller that waits, because of one
    server."""
    first, repeated = ENDLESS[kind]
    server = await start_server(lambda exchange: _send_without_end(exchange, first, repeated))
    gateway.configure(server)
    responses, _, peak_bytes = await _call_all(gateway, path)
    expected = {503} if kind == "refusal" else {502, 504}
    assert {response.status for response in responses} <= expected
    assert peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize("kind", ["event", "event after others"])
async def test_endless_event_ends_the_stream(
    gateway: Gateway,
    start_server: Callable[[Script], Awaitable[ScriptedServer]],
    kind: str,
) -> None:
    """Guards against an event that is buffered without a limit."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        if kind != "event":
            await exchange.send_events(1, 3)
        await _send_without_end(exchange, b"", CHUNK)

    gateway.configure(await start_server(script))
    responses, _, peak_bytes = await _call_all(gateway, "/stream/x")
    assert not any(response.status == 200 and response.complete for response in responses)
    assert peak_bytes < MAX_MEMORY_BYTES
