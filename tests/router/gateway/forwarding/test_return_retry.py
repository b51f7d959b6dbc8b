"""Retry that a begun stream keeps for its return to the silent server that it left."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.policy.test_retry_budgets import BOUNDS
from tests.router.gateway.scripted_server import encode_events

from cornellead.gateway.forwarding import _attempt_sender

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
CALLER_PATIENCE_S = 4.0
"""Gap after the last event at which callers disconnect."""
ONE_RETRY = BOUNDS._replace(retry_minimum=5.0)
"""Bounds of a budget that never holds two retries at once, as with many routers."""


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a busy machine delay a check without a restart of the silence that is tested."""
    monkeypatch.setattr(_attempt_sender, "MAX_CHECK_DELAY_S", CALLER_PATIENCE_S)


async def _begin_and_die(exchange: ScriptedExchange) -> None:
    if not exchange.header("last-event-id"):
        await exchange.begin_stream()
        await exchange.send_events(1, 3)
    await exchange.disconnected.wait()


async def _begin_and_pause(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await asyncio.sleep(2.3)
    await exchange.send_events(4, LAST)
    await exchange.end_stream()


async def _resume(exchange: ScriptedExchange) -> None:
    await exchange.resume_stream(LAST)


async def _resume_late(exchange: ScriptedExchange) -> None:
    await asyncio.sleep(0.5)
    await exchange.resume_stream(LAST)


async def _refuse_late(exchange: ScriptedExchange) -> None:
    await asyncio.sleep(0.5)
    await exchange.send(exchange.response(503, "X-Not-Executed: full"))


async def _call(gateway: Gateway, number: int = 0) -> CallerResponse:
    reader, writer = await gateway.connect()
    request = encode_request(
        "/resumable/1", f"X-Deadline-Ms: {DEADLINE_MS}", request_id=f"7f{number:02d}"
    )
    writer.write(request)
    try:
        return await read_response(reader)
    finally:
        writer.close()


async def _list_later(gateway: Gateway, *others: ScriptedServer) -> None:
    await asyncio.sleep(0.1)
    for position, server in enumerate(others, start=1):
        entry = make_entry(f"s{position}", address=server.address)
        gateway.view.servers.put(entry, now=time.monotonic())


async def _stream_all(
    gateway: Gateway, streams: int, *others: ScriptedServer
) -> list[CallerResponse]:
    calls = [asyncio.create_task(_call(gateway, number)) for number in range(streams)]
    await _list_later(gateway, *others)
    async with asyncio.timeout(CALLER_PATIENCE_S):
        return await asyncio.gather(*calls)


def _is_whole(response: CallerResponse) -> bool:
    return response.complete and response.body == encode_events(1, LAST)


def _count_reserved(gateway: Gateway) -> int:
    return gateway.retries._budgets["llm"]._reserved


@pytest.mark.parametrize(("streams", "take"), [(1, _resume_late), (8, _resume_late), (12, _resume)])
async def test_streams_leave_a_dead_server(
    gateway: Gateway, start_server: StartServer, streams: int, take: Script
) -> None:
    """Guards against retries for ways back that keep streams at a dead server."""
    dead, sound = await start_server(_begin_and_die), await start_server(take)
    gateway.configure(dead, max_attempts=3)
    responses = await _stream_all(gateway, streams, sound)
    assert [_is_whole(response) for response in responses] == [True] * streams
    assert _count_reserved(gateway) == 0


@pytest.mark.parametrize("streams", [1, 4])
async def test_streams_of_a_dead_server_go_on_past_one_that_refuses_late(
    gateway: Gateway, start_server: StartServer, streams: int
) -> None:
    """Guards against streams that return to a dead server though another one would take them."""
    dead, full = await start_server(_begin_and_die), await start_server(_refuse_late)
    sound = await start_server(_resume)
    gateway.configure(dead, max_attempts=3)
    responses = await _stream_all(gateway, streams, full, sound)
    assert [_is_whole(response) for response in responses] == [True] * streams


async def test_stream_leaves_a_dead_server_if_the_budget_holds_one_retry(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against streams that stay with a dead server for want of a retry for the return."""
    dead, sound = await start_server(_begin_and_die), await start_server(_resume)
    gateway.retries.bounds = ONE_RETRY
    gateway.configure(dead, max_attempts=3)
    [response] = await _stream_all(gateway, 1, sound)
    assert _is_whole(response)


async def test_stream_stays_with_a_sound_server_if_the_budget_holds_one_retry(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that leaves a sound server and cannot pay for its return."""
    silent, full = await start_server(_begin_and_pause), await start_server(_refuse_late)
    gateway.retries.bounds = ONE_RETRY
    gateway.configure(silent, max_attempts=3)
    [response] = await _stream_all(gateway, 1, full)
    assert _is_whole(response)
    assert not full.received


async def test_retry_is_given_back_when_the_caller_leaves(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against retries that stay put aside for callers that are gone."""
    dead, full = await start_server(_begin_and_die), await start_server(_refuse_late)
    gateway.configure(dead, max_attempts=3)
    call = asyncio.create_task(_call(gateway))
    await _list_later(gateway, full)
    while not full.received:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    assert _count_reserved(gateway) == 1
    call.cancel()
    await asyncio.sleep(0.1)
    assert _count_reserved(gateway) == 0
