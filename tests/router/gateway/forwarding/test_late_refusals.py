"""Streams that left a silent server for one that refuses them after the overlap."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.scripted_server import encode_events

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

DEADLINE_MS = 8000
LAST = 6
SILENCE_S = 2.3
"""Time after which the first server goes on, and takes requests again."""
CALLER_PATIENCE_S = 4.0
"""Gap after the last event at which callers disconnect."""


def _make_refusing_script(refused_after_s: float) -> Script:
    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(refused_after_s)
        await exchange.send(exchange.response(503, "X-Not-Executed: full"))

    return script


def _make_silent_script(silence_s: float = SILENCE_S) -> Script:
    """Return a script of a server that is silent on all requests for a while."""
    started_at = time.monotonic()

    async def script(exchange: ScriptedExchange) -> None:
        if not exchange.header("last-event-id"):
            await exchange.begin_stream()
            await exchange.send_events(1, 3)
        await asyncio.sleep(started_at + silence_s - time.monotonic())
        if exchange.header("last-event-id"):
            await exchange.resume_stream(LAST)
        else:
            await exchange.send_events(4, LAST)
            await exchange.end_stream()

    return script


async def _call(gateway: Gateway, *others: ScriptedServer, number: int = 0) -> CallerResponse:
    reader, writer = await gateway.connect()
    request = encode_request(
        "/resumable/1", f"X-Deadline-Ms: {DEADLINE_MS}", request_id=f"7f{number:02d}"
    )
    writer.write(request)
    call = asyncio.create_task(read_response(reader))
    await asyncio.sleep(0.1)
    for position, server in enumerate(others, start=1):
        entry = make_entry(f"s{position}", address=server.address)
        gateway.view.servers.put(entry, now=time.monotonic())
    response = await call
    writer.close()
    return response


@pytest.mark.parametrize(("streams", "refused_after_s"), [(1, 0.1), (4, 0.1), (1, 0.5), (4, 0.5)])
async def test_streams_outlast_servers_that_refuse_late(
    gateway: Gateway, start_server: StartServer, streams: int, refused_after_s: float
) -> None:
    """Guards against streams that are cut since each refusal spends a retry (issue 35, LOST)."""
    silent = await start_server(_make_silent_script())
    full = [await start_server(_make_refusing_script(refused_after_s)) for _ in range(2)]
    gateway.configure(silent, max_attempts=3)
    calls = [_call(gateway, *full, number=number) for number in range(streams)]
    responses = await asyncio.gather(*calls)
    whole = [r.complete and r.body == encode_events(1, LAST) for r in responses]
    assert whole == [True] * streams


@pytest.mark.parametrize("silence_s", [1.3, SILENCE_S])
@pytest.mark.parametrize("refused_after_s", [0.1, 0.5, 1.0])
@pytest.mark.parametrize("streams", [4, 12, 40])
async def test_streams_beyond_the_retry_budget_outlast_late_refusals(
    gateway: Gateway,
    start_server: StartServer,
    streams: int,
    refused_after_s: float,
    silence_s: float,
) -> None:
    """Guards against streams that leave a sound server without a retry for their return."""
    silent = await start_server(_make_silent_script(silence_s))
    full = [await start_server(_make_refusing_script(refused_after_s)) for _ in range(2)]
    gateway.configure(silent, max_attempts=3)
    calls = [_call(gateway, *full, number=number) for number in range(streams)]
    async with asyncio.timeout(CALLER_PATIENCE_S):
        responses = await asyncio.gather(*calls)
    whole = [r.complete and r.body == encode_events(1, LAST) for r in responses]
    assert whole == [True] * streams


async def test_stream_waits_for_a_server_that_takes_it(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that is cut since its first server left the list after the move."""
    silent = await start_server(_make_silent_script())
    full = await start_server(_make_refusing_script(0.5))

    async def resume(exchange: ScriptedExchange) -> None:
        await exchange.resume_stream(LAST)

    sound = await start_server(resume)
    gateway.configure(silent, max_attempts=3)
    call = asyncio.create_task(_call(gateway, full))
    while not full.received:
        await asyncio.sleep(0.01)
    gateway.view.servers.remove("s0", now=time.monotonic())
    await asyncio.sleep(0.6)
    gateway.view.servers.put(make_entry("s9", address=sound.address), now=time.monotonic())
    response = await call
    assert response.complete and response.body == encode_events(1, LAST)
