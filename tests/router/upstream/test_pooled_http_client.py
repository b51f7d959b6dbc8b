"""Tests of calls whose response is slow, stalls or does not end."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from returns.result import Success
from tests.processes.flood import repeat
from tests.processes.flood import single_byte_chunks
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead.upstream import _pooled_http_client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange

    from cornellead_core.routing import HttpResponse

    CallServer = Callable[[Script], Awaitable[tuple[HttpResponse | None, float]]]

TIMEOUT_S = 0.2
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
BLOCK = b"a" * 20_000


@pytest.fixture
async def call() -> AsyncIterator[CallServer]:
    """Yield a function that calls a scripted server and returns response and duration."""
    servers: list[ScriptedServer] = []
    pool = ConnectionPool(loop=asyncio.get_running_loop())

    async def call_server(script: Script) -> tuple[HttpResponse | None, float]:
        server = ScriptedServer(script)
        await server.start()
        servers.append(server)
        started_at = time.monotonic()
        result = await PooledHttpClient(pool=pool).call(
            server.address, "GET", "/", timeout_s=TIMEOUT_S
        )
        assert isinstance(result, Success | Failure)
        return result.value_or(None), time.monotonic() - started_at

    yield call_server
    pool.close()
    for server in servers:
        server.stop()


async def test_large_body_may_exceed_the_timeout(call: CallServer) -> None:
    """Guards against a large response that never arrives, however often it is requested."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(HEAD % (30 * len(BLOCK)))
        for _ in range(30):
            await exchange.send(BLOCK)
            await asyncio.sleep(0.02)

    response, _ = await call(script)
    assert response is not None and len(response.body) == 30 * len(BLOCK)
    assert response.transfer_s > TIMEOUT_S


@pytest.mark.parametrize("pause_s", [0.05, 3600.0], ids=["trickle", "stall"])
async def test_body_without_progress_ends_soon(call: CallServer, pause_s: float) -> None:
    """Guards against a reader that waits for a response which hardly arrives, or not at all."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(HEAD % 10_000_000 + BLOCK)
        while not exchange.disconnected.is_set():
            await exchange.send(b"a" * 100)
            await asyncio.sleep(pause_s)

    response, duration_s = await call(script)
    assert response is None
    assert duration_s < 1.0


async def test_body_without_end_ends_soon(call: CallServer) -> None:
    """Guards against a reader that fills its memory."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(b"HTTP/1.1 200 OK\r\n\r\n")
        while not exchange.disconnected.is_set():
            await exchange.send(BLOCK)

    response, duration_s = await call(script)
    assert response is None
    assert duration_s < 7.0


async def test_body_in_tiny_chunks_does_not_outlast_the_time_limit(
    call: CallServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a time limit that each read of a busy process puts off."""
    monkeypatch.setattr(_pooled_http_client, "MAX_EXTENSION_S", 0.2)
    chunks = repeat(single_byte_chunks(b"a"))

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not exchange.disconnected.is_set():
            await exchange.send(chunks)

    response, duration_s = await call(script)
    assert response is None
    assert duration_s < TIMEOUT_S + 0.2 + 0.5


@pytest.mark.parametrize("port", ["0", "65536", "-1", "9" * 30, "9" * 5000, "x", ""])
async def test_address_that_cannot_be_dialled_is_a_failed_call(port: str) -> None:
    """Guards against a request that ends without an answer because of its server's address."""
    pool = ConnectionPool(loop=asyncio.get_running_loop())
    result = await PooledHttpClient(pool=pool).call(f"127.0.0.1:{port}", "GET", "/", timeout_s=0.2)
    assert isinstance(result, Failure)
