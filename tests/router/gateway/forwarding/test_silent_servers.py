"""Servers that fall silent for a moment and go on, alone or all at once."""

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

SILENCE_S = 2.3
"""Longer than any timeout after which a router may turn to another server."""
DEADLINE_MS = 8000


async def _pause(exchange: ScriptedExchange) -> None:
    """Stream events 1 to 6 with a pause in the middle, or their rest when it is resumed."""
    if exchange.header("last-event-id"):
        await exchange.resume_stream(6)
        return
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await asyncio.sleep(SILENCE_S)
    await exchange.send_events(4, 6)
    await exchange.end_stream()


async def _call(gateway: Gateway, path: str, number: int = 0) -> CallerResponse:
    reader, writer = await gateway.connect()
    writer.write(
        encode_request(path, f"X-Deadline-Ms: {DEADLINE_MS}", request_id=f"7f{number:02d}")
    )
    response = await read_response(reader)
    writer.close()
    return response


async def test_streams_survive_a_silence_of_all_servers_at_once(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against streams that end without an answer because all were given up together and the
    retry budget had room for a few, though their servers went on."""
    gateway.configure(*[await start_server(_pause) for _ in range(3)])
    responses = await asyncio.gather(
        *(_call(gateway, "/resumable/1", number) for number in range(24))
    )
    assert [r.complete and r.body == encode_events(1, 6) for r in responses] == [True] * 24


async def test_stream_without_another_server_waits_for_its_own(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that is given up although no other server could take it."""
    server = await start_server(_pause)
    gateway.configure(server)
    response = await _call(gateway, "/resumable/1")
    assert response.complete and response.body == encode_events(1, 6)
    assert len(server.received) == 1


async def test_stream_that_cannot_be_resumed_where_it_is_waits_for_its_server(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that is given up although its events have no ids to resume after."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_chunk(b"data: a\n\n")
        await asyncio.sleep(SILENCE_S)
        await exchange.send_chunk(b"data: b\n\n")
        await exchange.end_stream()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    response = await _call(gateway, "/resumable/1")
    assert response.complete and response.body == b"data: a\n\ndata: b\n\n"
    assert sum(len(server.received) for server in servers) == 1


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1"])
async def test_request_is_kept_while_the_other_servers_cannot_be_reached(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against a 502 for a request that left its silent server for listed servers that
    accept no connection."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.4)
        if path.startswith("/safe"):
            await exchange.send(exchange.sealed_response(200, b"body"))
        else:
            await exchange.resume_stream(3)

    server = await start_server(script)
    stopped = [await start_server(_pause) for _ in range(5)]
    gateway.configure(server, *stopped)
    for other in stopped:
        other.stop()
    response = await _call(gateway, path)
    assert (response.status, response.complete) == (200, True)


async def test_stream_does_not_leave_for_a_server_that_is_silent_too(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against work that is given up and begun anew at a server that is just as silent."""
    servers = [await start_server(_pause) for _ in range(2)]
    gateway.configure(*servers)
    calls = []
    for number in range(2):
        calls.append(asyncio.create_task(_call(gateway, "/resumable/1", number)))
        await asyncio.sleep(0.1)
    assert sorted(len(server.received) for server in servers) == [1, 1]
    responses = await asyncio.gather(*calls)
    assert all(r.complete and r.body == encode_events(1, 6) for r in responses)
    assert sorted(len(server.received) for server in servers) == [1, 1]


async def test_requests_are_kept_when_the_router_itself_was_paused(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a router that wakes from a pause and gives up all its attempts before the
    bytes that waited for it have arrived."""
    awake = asyncio.Event()

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await awake.wait()
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    call = asyncio.create_task(_call(gateway, "/resumable/1"))
    await asyncio.sleep(0.3)
    time.sleep(SILENCE_S)
    await asyncio.sleep(0.2)
    awake.set()
    response = await call
    assert response.complete and response.body == encode_events(1, 4)
    assert sum(len(server.received) for server in servers) == 1


@pytest.mark.parametrize("begun", [False, True])
async def test_request_leaves_a_server_that_stays_silent(
    gateway: Gateway, start_server: StartServer, begun: bool
) -> None:
    """Guards against a request that waits for a dead server while a sound one could take it, and
    against two servers that work on it at once."""
    overlaps: list[bool] = []

    async def script(exchange: ScriptedExchange) -> None:
        earlier = [seen for server in servers for seen in server.received if seen is not exchange]
        if earlier:
            await asyncio.sleep(0.05)
            overlaps.append(not earlier[0].disconnected.is_set())
            await exchange.resume_stream(4)
            return
        if begun:
            await exchange.begin_stream()
            await exchange.send_events(1, 2)
        await exchange.disconnected.wait()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    started_at = time.monotonic()
    response = await _call(gateway, "/resumable/1")
    assert time.monotonic() - started_at < 4.0
    assert response.complete and response.body == encode_events(1, 4)
    assert overlaps == [False]


async def test_answer_of_a_silent_server_is_not_lost_to_one_that_refuses(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a request that leaves its server for one that is full without saying so."""

    async def answer_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.6)
        await exchange.send(exchange.sealed_response(200, b"body"))

    async def refuse(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.response(503, "X-Not-Executed: 1"))

    late, full = await start_server(answer_late), await start_server(refuse)
    gateway.configure(late)
    call = asyncio.create_task(_call(gateway, "/safe/1"))
    await asyncio.sleep(0.1)
    entry = make_entry("s1", address=full.address)
    gateway.view.servers.put(entry, now=time.monotonic())
    response = await call
    assert (response.status, response.complete) == (200, True)


@pytest.mark.parametrize(("path", "statuses"), [("/unsafe/1", {200}), ("/safe/1", {200, 502, 504})])
@pytest.mark.parametrize("requests", [4, 40])
@pytest.mark.parametrize("refused_after_s", [0.1, 0.5, 1.0])
async def test_accepted_requests_are_answered_though_others_refuse_late(
    gateway: Gateway,
    start_server: StartServer,
    path: str,
    statuses: set[int],
    requests: int,
    refused_after_s: float,
) -> None:
    """Guards against accepted requests without an answer, and unsafe ones that leave (LOST)."""
    started_at = time.monotonic()

    async def answer_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(started_at + 1.3 - time.monotonic())
        await exchange.send(exchange.sealed_response(200, b"body"))

    async def refuse_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(refused_after_s)
        await exchange.send(exchange.response(503, "X-Not-Executed: full"))

    silent = await start_server(answer_late)
    full = [await start_server(refuse_late) for _ in range(2)]
    gateway.configure(silent)
    calls = [asyncio.create_task(_call(gateway, path, number)) for number in range(requests)]
    while len(silent.received) < requests:
        await asyncio.sleep(0.01)
    for position, server in enumerate(full, start=1):
        entry = make_entry(f"s{position}", address=server.address)
        gateway.view.servers.put(entry, now=time.monotonic())
    responses = await asyncio.gather(*calls)
    assert all(response.complete for response in responses)
    assert {response.status for response in responses} <= statuses
