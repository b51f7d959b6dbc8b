"""Streams that are slow but sound, and streams that stall."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.scripted_server import encode_events

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

CALLER_PATIENCE_S = 4.0
"""Pause after which callers leave a stream."""


@pytest.mark.parametrize("filler", [b"i", b": wait\n\n", b"id: 2\n"])
async def test_stream_that_sends_bytes_without_events_is_resumed_elsewhere(
    gateway: Gateway, start_server: StartServer, filler: bytes
) -> None:
    """Guards against a stalled server that keeps a stream until its deadline with a byte or a
    comment now and then, while another server is sound."""

    async def trickle(exchange: ScriptedExchange) -> None:
        if exchange.header("last-event-id"):
            await exchange.resume_stream(4)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        while not exchange.disconnected.is_set():
            await exchange.send_chunk(filler)
            await asyncio.sleep(0.2)

    gateway.configure(*[await start_server(trickle) for _ in range(2)])
    started_at = time.monotonic()
    response = await gateway.call("/resumable/1", "X-Deadline-Ms: 6000", body=b"prompt")
    assert time.monotonic() - started_at < CALLER_PATIENCE_S
    assert response.complete
    delivered = [line for line in response.body.split(b"\n\n") if line and line[:1] != b":"]
    assert delivered == encode_events(1, 4).split(b"\n\n")[:-1]


async def test_slow_stream_is_not_cut(gateway: Gateway, start_server: StartServer) -> None:
    """Guards against a sound stream with a long pause after each event that is moved or cut."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        for number in range(1, 6):
            await exchange.send_events(number, number)
            await asyncio.sleep(0.7)
        await exchange.end_stream()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    response = await gateway.call("/resumable/1", "X-Deadline-Ms: 8000", body=b"prompt")
    assert response.complete and response.body == encode_events(1, 5)
    assert sum(len(server.received) for server in servers) == 1


async def test_long_event_over_a_slow_link_is_not_cut(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a sound stream that is cut while one long event arrives slowly."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_chunk(b"id: 1\ndata: ")
        for _ in range(14):
            await exchange.send_chunk(b"x" * 600)
            await asyncio.sleep(0.2)
        await exchange.send_chunk(b"\n\n")
        await exchange.end_stream()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    response = await gateway.call("/resumable/1", "X-Deadline-Ms: 8000", body=b"prompt")
    assert response.complete and len(response.body) > 14 * 600
    assert sum(len(server.received) for server in servers) == 1


async def test_slow_body_of_a_safe_request_is_not_cut(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a sound response that is given up because its body takes long."""

    async def script(exchange: ScriptedExchange) -> None:
        whole = exchange.sealed_response(200, b"x" * 12_000)
        for start in range(0, len(whole), 1200):
            await exchange.send(whole[start : start + 1200])
            await asyncio.sleep(0.17)

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    response = await gateway.call("/safe/1")
    assert response.status == 200 and len(response.body) == 12_000
    assert sum(len(server.received) for server in servers) == 1
