"""Many servers' bytes without end at once: the sum of what a router holds, not each response."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.gateway_harness import Gateway
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.scripted_server import encode_events

from cornellead_core.buffers import BufferBudget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

REQUESTS = 370
MAX_MEMORY_BYTES = 100 << 20
"""Half of what a host of 200 MB has; a router without load uses less than a third."""
SMALL_LIMIT_BYTES = 2 << 20
SENDING_S = 3.0
PIECE = b"a" * 60_000
SHORT_LINES = b"a:b\r\n" * 12_000


@pytest.fixture
async def gateway(free_address: Callable[[], str]) -> AsyncIterator[Gateway]:
    """Yield a gateway that accepts all connections of the test."""
    gateway = Gateway(free_address(), max_connections=2 * REQUESTS)
    await gateway.listener.start()
    yield gateway
    gateway.listener.stop_accepting()
    gateway.pool.close()


async def _send_event(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send_chunk(encode_events(1, 2) + b"id: 3\ndata: ")
    for _ in range(15):
        await exchange.send_chunk(PIECE)
        await asyncio.sleep(0.02)


async def _send_head(exchange: ScriptedExchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\n" + SHORT_LINES)


async def _send_trailer(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send(b"0\r\n" + SHORT_LINES)


async def _send_interim_heads(exchange: ScriptedExchange) -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\n" + SHORT_LINES[:6000] + b"\r\n"
    await exchange.send(interim * 8 + b"HTTP/1.1 200 OK\r\n" + SHORT_LINES[:10_000])


async def _send_body(exchange: ScriptedExchange) -> None:
    head = exchange.sealed_response(200, b"", "Transfer-Encoding: chunked")
    await exchange.send(head.replace(b"Content-Length: 0\r\n", b""))
    for _ in range(15):
        await exchange.send_chunk(PIECE)
        await asyncio.sleep(0.02)


async def _measure_peak(gateway: Gateway, path: str) -> int:
    """Send all requests, wait while servers answer, and return the peak of the memory."""
    writers = []
    tracemalloc.start()
    try:
        for number in range(REQUESTS):
            _, writer = await gateway.connect()
            writer.write(encode_request(path, "X-Deadline-Ms: 30000", request_id=f"7f{number:04d}"))
            writers.append(writer)
        await asyncio.sleep(SENDING_S)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    for writer in writers:
        writer.close()
    return peak_bytes


@pytest.mark.parametrize(
    ("send", "path"),
    [
        (_send_event, "/resumable/x"),
        (_send_head, "/unsafe/x"),
        (_send_trailer, "/unsafe/x"),
        (_send_interim_heads, "/unsafe/x"),
        (_send_body, "/unsafe/x"),
    ],
)
async def test_sum_of_endless_responses_is_bounded(
    gateway: Gateway, start_server: StartServer, send: Script, path: str
) -> None:
    """Guards against a router that runs out of memory as many servers send bytes without end
    (issue 35)."""

    async def send_and_wait(exchange: ScriptedExchange) -> None:
        await send(exchange)
        await exchange.disconnected.wait()

    servers = [await start_server(send_and_wait) for _ in range(2)]
    gateway.configure(*servers, timeout_s=30.0)
    assert await _measure_peak(gateway, path) < MAX_MEMORY_BYTES


async def _send_without_end(exchange: ScriptedExchange, data: bytes) -> None:
    await exchange.begin_stream()
    while not exchange.disconnected.is_set():
        await exchange.send_chunk(data)
        await asyncio.sleep(0.01)


async def test_sound_stream_outlasts_endless_ones(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against sound streams that end because of those without end."""
    gateway.pool.budget = BufferBudget(limit_bytes=SMALL_LIMIT_BYTES)

    async def script(exchange: ScriptedExchange) -> None:
        if exchange.request_id != "7fff":
            await _send_without_end(exchange, b"id: 1\ndata: " + PIECE)
            return
        await exchange.begin_stream()
        for number in range(1, 21):
            await exchange.send_events(number, number)
            await asyncio.sleep(0.05)
        await exchange.end_stream()

    gateway.configure(await start_server(script))
    endless = [
        asyncio.create_task(gateway.call("/stream/x", request_id=f"7f{number:02d}"))
        for number in range(12)
    ]
    response = await gateway.call("/resumable/x", request_id="7fff")
    assert response.complete and response.body == encode_events(1, 20)
    assert not any(
        ended.complete and ended.status == 200 for ended in await asyncio.gather(*endless)
    )
    assert gateway.pool.budget.dropped >= 6 and gateway.pool.budget.used_bytes == 0


async def test_events_that_callers_do_not_read_are_bounded_together(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against long events that are held for callers who do not read."""
    budget = gateway.pool.budget = BufferBudget(limit_bytes=SMALL_LIMIT_BYTES)
    event = b"id: 1\ndata: " + PIECE * 10 + b"\n\n"
    server = await start_server(lambda exchange: _send_without_end(exchange, event))
    gateway.configure(server)
    writers = []
    for number in range(8):
        reader, writer = await gateway.connect()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(encode_request("/resumable/x", request_id=f"7f{number:02d}"))
        writers.append((reader, writer))
    async with asyncio.timeout(8.0):
        while not budget.dropped:
            await asyncio.sleep(0.01)
            assert budget.used_bytes <= SMALL_LIMIT_BYTES
    async with asyncio.timeout(2.0):
        while len(gateway.listener._conns) == len(writers):
            await asyncio.sleep(0.01)
    for _, writer in writers:
        writer.close()
