"""Streams whose successor, asked while the first server is silent, spoils its answer at once."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.scripted_server import encode_chunk
from tests.router.gateway.scripted_server import encode_event
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

LAST = 8
SILENCE_S = 2.3
"""Above the time after which a further server is asked, below the one at which callers leave."""
DEADLINE_MS = 8000
SPOILT_BYTES = b"\x00\xff spoilt \xff\x00\r\n"


async def _call(gateway: Gateway, *servers: ScriptedServer) -> CallerResponse:
    """Send a stream to the first server, and list the others once it has the request."""
    gateway.configure(servers[0], max_attempts=4)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/resumable/1", f"X-Deadline-Ms: {DEADLINE_MS}"))
    call = asyncio.create_task(read_response(reader))
    await asyncio.sleep(0.1)
    for number, server in enumerate(servers[1:], start=1):
        entry = make_entry(f"s{number}", address=server.address)
        gateway.view.servers.put(entry, now=time.monotonic())
    response = await call
    writer.close()
    return response


def _next_number(exchange: ScriptedExchange) -> int:
    return int(exchange.header("last-event-id") or "0") + 1


async def _spoil(exchange: ScriptedExchange) -> None:
    first = _next_number(exchange)
    events = encode_events(first, first + 1)
    await exchange.send(exchange.stream_head() + encode_chunk(events) + SPOILT_BYTES)
    exchange.writer.close()


async def _spoil_inside_an_event(exchange: ScriptedExchange) -> None:
    first = _next_number(exchange)
    part = encode_event(first)[:-4]
    await exchange.send(exchange.stream_head() + encode_chunk(part) + SPOILT_BYTES)
    exchange.writer.close()


async def _reset_behind_an_event(exchange: ScriptedExchange) -> None:
    event = encode_event(_next_number(exchange))
    await exchange.send(exchange.stream_head() + encode_chunk(event))
    exchange.reset()


async def _fall_silent_after_an_event(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await asyncio.sleep(SILENCE_S)
    await exchange.send_events(4, LAST)
    await exchange.end_stream()


async def _fall_silent_inside_an_event(exchange: ScriptedExchange) -> None:
    event = encode_event(4)
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await exchange.send_chunk(event[:8])
    await asyncio.sleep(SILENCE_S)
    await exchange.send_chunk(event[8:])
    await exchange.send_events(5, LAST)
    await exchange.end_stream()


async def _begin_late(exchange: ScriptedExchange) -> None:
    await asyncio.sleep(SILENCE_S)
    await exchange.resume_stream(LAST)


SILENT_SCRIPTS = [_fall_silent_after_an_event, _fall_silent_inside_an_event, _begin_late]
SPOILING_SCRIPTS = [_spoil, _spoil_inside_an_event, _reset_behind_an_event]


@pytest.mark.parametrize("spoil", SPOILING_SCRIPTS)
@pytest.mark.parametrize("fall_silent", SILENT_SCRIPTS)
async def test_events_of_a_successor_that_broke_off_do_not_come_twice(
    gateway: Gateway, start_server: StartServer, fall_silent: Script, spoil: Script
) -> None:
    """Guards against two attempts that write to one stream (issue 35, review/2)."""
    first, second = await start_server(fall_silent), await start_server(spoil)
    response = await _call(gateway, first, second)
    assert response.body == encode_events(1, LAST) and response.complete
    assert len(second.received) == 1


@pytest.mark.parametrize("fall_silent", SILENT_SCRIPTS)
async def test_stream_moves_on_past_a_successor_that_broke_off(
    gateway: Gateway, start_server: StartServer, fall_silent: Script
) -> None:
    """Guards against a stalled stream that stays where it is because one successor failed."""

    async def resume(exchange: ScriptedExchange) -> None:
        await exchange.resume_stream(LAST)

    first, second = await start_server(fall_silent), await start_server(_spoil)
    third = await start_server(resume)
    response = await _call(gateway, first, second, third)
    assert response.body == encode_events(1, LAST) and response.complete
    assert len(third.received) == 1
