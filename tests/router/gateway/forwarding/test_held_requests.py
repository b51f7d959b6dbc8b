"""Tests of requests that wait for a place, from the caller's connection to the server."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_config

from cornellead.gateway.ingress import ServingPhase
from cornellead_core.routing import RoutingConfig

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


async def _answer_as_full(exchange: ScriptedExchange) -> None:
    await asyncio.sleep(0.4)
    await exchange.send(exchange.sealed_response(200, b"ok", "X-Server-Load: 64,100,64"))


async def _fill(gateway: Gateway, server: ScriptedServer) -> None:
    """Configure a plain service whose only server reports that it is full."""
    gateway.configure(server)
    data = make_config(version=2).data
    plain = tuple(service._replace(kv_capacity_tokens=0) for service in data.services)
    gateway.view.activate_config(RoutingConfig(data=data._replace(services=plain)))
    gateway.view.confirmed_at = time.monotonic()
    assert (await gateway.call("/unsafe/1")).status == 200


async def test_held_request_is_served_once_the_news_of_full_slots_is_old(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that are held although nothing shows that the server is full."""
    server = await start_server(_answer_as_full)
    await _fill(gateway, server)
    held = asyncio.create_task(gateway.call("/unsafe/2"))
    await asyncio.sleep(0.1)
    assert gateway.forwarder.places.held == 1
    assert len(server.received) == 1
    assert (await held).status == 200
    assert gateway.forwarder.places.held == 0


async def test_stop_refuses_held_requests_as_not_run(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a held request that is sent, or gets no answer, when the router stops."""
    server = await start_server(_answer_as_full)
    await _fill(gateway, server)
    held = asyncio.create_task(gateway.call("/unsafe/2"))
    await asyncio.sleep(0.1)
    gateway.serving.advance(ServingPhase.REFUSING)
    response = await held
    assert response.status == 503
    assert "retry-after" in response.head.lower()
    assert len(server.received) == 1
