"""Requests that are at two servers for a moment: the first is silent, the other may take over."""

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
LATER_S = 0.1
"""Time after which the other servers are listed, so that the first one has the request."""
MAX_OVERLAP_S = 0.4
"""Time for which two servers may work on a request."""


async def _call(gateway: Gateway, path: str) -> CallerResponse:
    reader, writer = await gateway.connect()
    writer.write(encode_request(path, f"X-Deadline-Ms: {DEADLINE_MS}"))
    response = await read_response(reader)
    writer.close()
    return response


async def _list_others(gateway: Gateway, *others: ScriptedServer) -> None:
    await asyncio.sleep(LATER_S)
    for number, server in enumerate(others, start=1):
        entry = make_entry(f"s{number}", address=server.address)
        gateway.view.servers.put(entry, now=time.monotonic())


async def _call_first_of(
    gateway: Gateway, path: str, first: ScriptedServer, *others: ScriptedServer
) -> CallerResponse:
    call = asyncio.create_task(_call(gateway, path))
    await _list_others(gateway, *others)
    return await call


async def _answer(exchange: ScriptedExchange, body: bytes) -> None:
    await exchange.send(exchange.sealed_response(200, body))


async def _refuse(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.response(503, "X-Not-Executed: 1"))


async def _stay_silent(exchange: ScriptedExchange) -> None:
    await exchange.disconnected.wait()


async def _wait_for_request(server: ScriptedServer) -> None:
    while not server.received:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("begun", [False, True])
async def test_stream_of_a_silent_server_is_not_lost_to_one_that_refuses(
    gateway: Gateway, start_server: StartServer, begun: bool
) -> None:
    """Guards against a stream that leaves its server for one that is full without saying so, and
    against a full server that is asked at each look for a successor."""

    async def go_on_late(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await asyncio.sleep(2.3)
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    async def begin_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.7)
        await exchange.resume_stream(4)

    first = await start_server(go_on_late if begun else begin_late)
    full = await start_server(_refuse)
    gateway.configure(first)
    response = await _call_first_of(gateway, "/resumable/1", first, full)
    assert response.complete and response.body == encode_events(1, 4)
    assert (len(first.received), len(full.received)) == (1, 1)


async def test_first_server_that_answers_in_the_overlap_wins(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an answer that is dropped though no other one has begun, and against a second
    run that goes on after the answer."""

    async def answer_first(exchange: ScriptedExchange) -> None:
        await _wait_for_request(second)
        await asyncio.sleep(0.1)
        await _answer(exchange, b"first")

    async def answer_second(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.6)
        await _answer(exchange, b"second")

    first, second = await start_server(answer_first), await start_server(answer_second)
    gateway.configure(first)
    response = await _call_first_of(gateway, "/safe/1", first, second)
    assert (response.status, response.body) == (200, b"first")
    async with asyncio.timeout(MAX_OVERLAP_S):
        await second.received[0].disconnected.wait()


async def test_silent_server_is_left_while_the_other_one_works(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against two servers that work on a request for longer than is allowed."""
    overlaps: list[bool] = []

    async def answer_slowly(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(MAX_OVERLAP_S)
        overlaps.append(not first.received[0].disconnected.is_set())
        await _answer(exchange, b"second")

    first, second = await start_server(_stay_silent), await start_server(answer_slowly)
    gateway.configure(first)
    response = await _call_first_of(gateway, "/safe/1", first, second)
    assert (response.status, response.body) == (200, b"second")
    assert overlaps == [False]


async def test_other_server_answers_if_the_first_breaks_in_the_overlap(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a successor that is dropped together with the attempt that it replaces."""

    async def break_off(exchange: ScriptedExchange) -> None:
        await _wait_for_request(second)
        await asyncio.sleep(0.05)
        exchange.reset()

    async def answer_second(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.2)
        await _answer(exchange, b"second")

    first, second = await start_server(break_off), await start_server(answer_second)
    gateway.configure(first)
    response = await _call_first_of(gateway, "/safe/1", first, second)
    assert (response.status, response.body) == (200, b"second")
    assert (len(first.received), len(second.received)) == (1, 1)


async def test_both_servers_are_left_when_the_caller_leaves_in_the_overlap(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against work that goes on for a caller that is gone."""
    first, second = await start_server(_stay_silent), await start_server(_stay_silent)
    gateway.configure(first)
    call = asyncio.create_task(_list_others(gateway, second))
    _, writer = await gateway.connect()
    writer.write(encode_request("/safe/1", f"X-Deadline-Ms: {DEADLINE_MS}"))
    await call
    await _wait_for_request(second)
    writer.close()
    async with asyncio.timeout(0.2):
        await first.received[0].disconnected.wait()
        await second.received[0].disconnected.wait()


async def test_overlap_counts_as_an_attempt(gateway: Gateway, start_server: StartServer) -> None:
    """Guards against a request that runs on more servers than its route allows."""
    servers = [await start_server(_stay_silent) for _ in range(4)]
    gateway.configure(servers[0], max_attempts=2)
    response = await _call_first_of(gateway, "/safe/1", *servers)
    assert response.status == 504
    assert sum(len(server.received) for server in servers) == 2


async def test_events_of_two_runs_are_not_joined_after_an_overlap(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an event that the caller gets twice because the first server sent it after the
    other one had been told where to go on."""
    names = "abcd"

    async def send(exchange: ScriptedExchange, part: str) -> None:
        for name in part:
            await exchange.send_chunk(b"id: %b\ndata: x\n\n" % name.encode())

    async def break_after_an_event(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await send(exchange, names[:2])
        await _wait_for_request(second)
        await send(exchange, names[2])
        await asyncio.sleep(0.001)
        exchange.reset()

    async def go_on(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.05)
        await exchange.begin_stream()
        await send(exchange, names[names.find(exchange.header("last-event-id")) + 1 :])
        await exchange.end_stream()

    first, second = await start_server(break_after_an_event), await start_server(go_on)
    gateway.configure(first, max_attempts=3)
    response = await _call_first_of(gateway, "/resumable/1", first, second)
    assert response.complete
    assert response.body == b"".join(b"id: %b\ndata: x\n\n" % n.encode() for n in names)
