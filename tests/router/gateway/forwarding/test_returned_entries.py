"""Servers whose entry is removed and comes back while they run on."""

from __future__ import annotations

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

PATHS = ["/unsafe/1", "/safe/1", "/stream/1", "/resumable/1"]


async def _leave(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body", "Server-Leaving: 1"))


async def _pause(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.response(503, "X-Not-Executed: busy", "Retry-After: 30"))


def _list_again(gateway: Gateway, server: ScriptedServer, *, started_ms: int) -> None:
    servers, now = gateway.view.servers, time.monotonic()
    servers.remove("s0", now=now)
    entry = make_entry("s0", address=server.address, started_ms=started_ms)
    servers.put(entry._replace(sequence=2), now=now)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("script", [_leave, _pause])
async def test_server_whose_entry_comes_back_gets_nothing_it_does_not_want(
    gateway: Gateway, start_server: StartServer, path: str, script: Script
) -> None:
    """Guards against requests to a leaving or pausing server after a late write of its entry
    (issue 35, review/5)."""
    server = await start_server(script)
    gateway.configure(server)
    await gateway.call("/unsafe/1", request_id="7f00")
    _list_again(gateway, server, started_ms=1)
    started_at = time.monotonic()
    response = await gateway.call(path, request_id="7f01")
    assert response.status == 503 and "retry-after" in response.head.lower()
    assert len(server.received) == 1
    assert time.monotonic() - started_at < 0.5


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("script", [_leave, _pause])
async def test_restarted_server_gets_requests_at_once(
    gateway: Gateway, start_server: StartServer, path: str, script: Script
) -> None:
    """Guards against a leaving or a pause that outlasts the incarnation that told it."""
    server = await start_server(script)
    gateway.configure(server)
    await gateway.call("/unsafe/1", request_id="7f00")
    _list_again(gateway, server, started_ms=2)
    await gateway.call(path, request_id="7f01")
    assert len(server.received) == 2
