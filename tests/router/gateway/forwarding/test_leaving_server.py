"""Servers that say in their responses that they are leaving."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

LEAVING = "Server-Leaving: 1"
REQUESTS = 30


async def _respond(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body"))


async def _complete(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body", LEAVING))


async def _fail(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(500, b"error", LEAVING))


async def _refuse(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.response(503, "X-Not-Executed: full", LEAVING))


async def _stream(exchange: ScriptedExchange) -> None:
    if not exchange.head.startswith(b"POST /stream"):
        await _complete(exchange)
        return
    await exchange.begin_stream(LEAVING)
    await exchange.send_events(1, 3)
    await exchange.end_stream()


@pytest.mark.parametrize("script", [_complete, _fail, _refuse, _stream])
async def test_server_that_says_it_is_leaving_gets_no_new_request(
    gateway: Gateway, start_server: StartServer, script: Script
) -> None:
    """Guards against requests that reach a server after it told that it is leaving."""
    leaving, sound = await start_server(script), await start_server(_respond)
    gateway.configure(leaving)
    path = "/stream/1" if script is _stream else "/unsafe/1"
    await gateway.call(path)
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    responses = await asyncio.gather(*(gateway.call("/safe/1") for _ in range(REQUESTS)))
    assert {response.status for response in responses} == {200}
    assert len(leaving.received) == 1


async def test_stream_head_tells_that_the_server_is_leaving(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a server that counts as ready until its last stream has ended."""
    told, go_on = asyncio.Event(), asyncio.Event()

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream(LEAVING)
        told.set()
        await go_on.wait()
        await exchange.send_events(1, 3)
        await exchange.end_stream()

    leaving, sound = await start_server(script), await start_server(_respond)
    gateway.configure(leaving)
    stream = asyncio.create_task(gateway.call("/stream/1"))
    await told.wait()
    await asyncio.sleep(0.05)
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    assert (await gateway.call("/unsafe/1")).status == 200
    go_on.set()
    assert (await stream).complete
    assert len(leaving.received) == 1


async def test_broken_stream_is_not_resumed_at_a_leaving_server(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against repeats that reach a leaving server, as the only one that was not tried."""

    async def begin_and_break(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        exchange.reset()

    leaving, breaking = await start_server(_complete), await start_server(begin_and_break)
    gateway.configure(leaving)
    await gateway.call("/unsafe/1")
    gateway.view.servers.put(make_entry("s1", address=breaking.address), now=time.monotonic())
    response = await gateway.call("/resumable/1")
    assert not response.complete
    assert len(leaving.received) == 1 and len(breaking.received) >= 1


async def test_request_is_rejected_at_once_if_all_servers_leave(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that wait for servers that will not come back."""
    leaving = await start_server(_complete)
    gateway.configure(leaving)
    await gateway.call("/unsafe/1")
    started_at = time.monotonic()
    response = await gateway.call("/unsafe/1")
    assert response.status == 503 and "retry-after" in response.head.lower()
    assert time.monotonic() - started_at < 0.2
    assert len(leaving.received) == 1


async def test_entry_that_still_says_ready_does_not_bring_a_leaving_server_back(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a heartbeat written before the server began to leave; a new start counts."""
    server = await start_server(_complete)
    gateway.configure(server)
    await gateway.call("/unsafe/1")
    entry = make_entry("s0", address=server.address)
    now = time.monotonic()
    gateway.view.servers.put(entry, now=now)
    gateway.view.servers.replace_all([entry], now=now)
    assert (await gateway.call("/unsafe/1")).status == 503
    gateway.view.servers.put(entry._replace(started_ms=2), now=now)
    assert (await gateway.call("/unsafe/1")).status == 200


@pytest.mark.parametrize(
    "lines",
    [
        ("HTTP/1.1 421 X", "X-Not-Executed: other", "X-Request-Id: 7f01"),
        ("HTTP/1.1 200 X", "X-Response-Seal: seal", "X-Request-Id: other"),
    ],
)
async def test_response_of_another_server_does_not_mark_a_server_as_leaving(
    gateway: Gateway, start_server: StartServer, lines: tuple[str, ...]
) -> None:
    """Guards against a sound server that is left for what another one said at its address."""

    async def script(exchange: ScriptedExchange) -> None:
        head = "\r\n".join([*lines, LEAVING, "Content-Length: 0"])
        await exchange.send(head.encode() + b"\r\n\r\n")

    gateway.configure(await start_server(script))
    await gateway.call("/unsafe/1")
    state = gateway.view.servers.get("s0")
    assert state is not None and state.leaving_since is None
