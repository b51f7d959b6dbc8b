"""Servers that name the rate of requests which they accept from all routers together."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.forwarding.test_crashing_prompt import exchange_reports
from tests.router.gateway.gateway_harness import Gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK_REQUESTS = 5
"""A server may get this many requests, and `TOLERANCE` times its limit, within `WINDOW_S`."""
SETTLE_S = 1.0
"""Time after which all routers have to know a limit."""


class LimitedServer:
    """Names a limit in its responses and records when requests arrive."""

    def __init__(self, per_s: float | None) -> None:
        self.per_s = per_s
        self.arrivals: list[float] = []

    async def respond(self, exchange: ScriptedExchange) -> None:
        self.arrivals.append(time.monotonic())
        named = () if self.per_s is None else (f"Server-Limit: {self.per_s}",)
        await exchange.send(exchange.sealed_response(200, b"body", *named))

    def most_in_a_window(self, *, since: float) -> int:
        """Return the most arrivals within `WINDOW_S`."""
        times = [at for at in self.arrivals if at >= since]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


@pytest.fixture
async def gateways(free_address: Callable[[], str]) -> AsyncIterator[list[Gateway]]:
    """Yield five gateways that exchange reports, without servers."""
    gateways = [Gateway(free_address(), router=f"r{number}") for number in range(5)]
    for gateway in gateways:
        await gateway.listener.start()
    async with exchange_reports(gateways, [free_address() for _ in gateways]):
        yield gateways
    for gateway in gateways:
        gateway.listener.stop_accepting()
        gateway.pool.close()


async def send_steadily(gateways: list[Gateway], *, per_s: float, seconds: float) -> list[int]:
    """Send requests to the gateways in turn and return the statuses."""
    tasks = []
    for number in range(int(per_s * seconds)):
        gateway = gateways[number % len(gateways)]
        tasks.append(asyncio.create_task(gateway.call("/safe/1")))
        await asyncio.sleep(1 / per_s)
    return [(await task).status for task in tasks]


async def test_all_routers_together_keep_the_limit_of_a_server(
    gateways: list[Gateway], start_server: StartServer
) -> None:
    """Guards against a server in need that gets its limit from each router."""
    limited, free = LimitedServer(2.0), LimitedServer(None)
    servers = [await start_server(limited.respond), await start_server(free.respond)]
    for gateway in gateways:
        gateway.configure(*servers)
    started_at = time.monotonic()
    statuses = await send_steadily(gateways, per_s=25.0, seconds=6.0)
    assert set(statuses) == {200}
    allowed = TOLERANCE * 2.0 * WINDOW_S + SLACK_REQUESTS
    assert limited.most_in_a_window(since=started_at + SETTLE_S) <= allowed


async def test_what_limited_servers_cannot_take_is_rejected_at_once(
    gateways: list[Gateway], start_server: StartServer
) -> None:
    """Guards against requests that wait for a place which the limits rule out."""
    limited = LimitedServer(1.0)
    server = await start_server(limited.respond)
    for gateway in gateways:
        gateway.configure(server)
    await send_steadily(gateways, per_s=10.0, seconds=SETTLE_S)
    started_at = time.monotonic()
    responses = [await gateways[number % 5].call("/safe/1") for number in range(30)]
    assert time.monotonic() - started_at < 5.0
    rejected = [response for response in responses if response.status == 503]
    assert len(rejected) >= 20
    assert all("retry-after" in response.head.lower() for response in rejected)
