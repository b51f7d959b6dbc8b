"""Holding of requests, and Retry-After of refusals, while a gateway cannot serve."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING

from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


async def _respond_ok(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body"))


async def test_request_is_held_until_the_gateway_is_ready(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against refused requests when all routers restart at once: callers retry only once,
    and the router is ready a moment later."""
    server = await start_server(_respond_ok)
    call = asyncio.create_task(gateway.call("/unsafe/1"))
    await asyncio.sleep(0.1)
    gateway.configure(server)
    assert (await call).status == 200


async def test_retry_after_grows_with_the_store_outage_at_startup(
    gateway: Gateway,
) -> None:
    """Guards against a short Retry-After in an outage, with which callers use their only retry
    while still no router can serve."""
    gateway.view.mark_store_unavailable(Topic.SERVERS, now=time.monotonic() - 1.0)
    sent_at = time.monotonic()
    response = await gateway.call("/unsafe/1", "X-Deadline-Ms: 30000")
    assert response.status == 503
    assert time.monotonic() - sent_at < 0.6
    assert 2.0 <= _retry_after(response) <= 4.0
    response = await gateway.call("/unsafe/1", "X-Deadline-Ms: 3000")
    assert 0.9 <= _retry_after(response) <= 1.0


async def test_request_is_held_at_startup_during_a_store_outage(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a refusal during a store outage that ends a moment later."""
    server = await start_server(_respond_ok)
    gateway.view.mark_store_unavailable(Topic.SERVERS, now=time.monotonic() - 1.0)
    call = asyncio.create_task(gateway.call("/unsafe/1"))
    await asyncio.sleep(0.1)
    gateway.configure(server)
    assert (await call).status == 200


def _retry_after(response: CallerResponse) -> float:
    match = re.search(r"(?i)retry-after: ([0-9.]+)", response.head)
    assert match
    return float(match[1])


async def test_retry_after_is_the_expected_wait_for_a_slot(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a request that waits at a full server until its deadline has passed."""
    server = await start_server(_respond_ok)
    gateway.configure(server)
    state = gateway.view.servers.get("s0")
    assert state is not None
    state.health.record_stream_duration(2.0)
    for number in range(-200, 0):
        state.health.start_request(number, now=time.monotonic())
        state.health.record_data_received(now=time.monotonic())
    state.record_reported_load(ReportedLoad(64, 136, 64), now=time.monotonic())
    response = await gateway.call(
        "/stream/1", "X-Deadline-Ms: 1500", "X-Prompt-Prefix: a1:10,b2:10,c3:10"
    )
    assert response.status == 503
    assert 0.4 <= _retry_after(response) <= 0.5
    assert server.received == []
