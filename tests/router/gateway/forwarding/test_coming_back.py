"""When callers of a gateway that cannot serve them now are refused, held or told to come back."""

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

    from tests.router.gateway.gateway_harness import Answer
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.raw_server import RawExchange
    from tests.router.gateway.raw_server import RawServer
    from tests.router.gateway.raw_server import Script

    Start = Callable[[Script], Awaitable[RawServer]]


async def _answer_ok(exchange: RawExchange) -> None:
    await exchange.send(exchange.sealed(200, b"body"))


async def test_request_is_held_while_a_gateway_starts(
    gateway: Gateway, start_server: Start
) -> None:
    """Load: all routers restart at once. Guards against refusing callers, who retry only once, by
    a router that is ready a moment later."""
    server = await start_server(_answer_ok)
    calling = asyncio.create_task(gateway.call("/unsafe/1"))
    await asyncio.sleep(0.1)
    gateway.know(server)
    assert (await calling).status == 200


async def test_caller_of_a_router_that_starts_in_an_outage_comes_back_later(
    gateway: Gateway,
) -> None:
    """Guards against callers that spend their only retry while no router can serve."""
    gateway.view.lose_store(Topic.SERVERS, now=time.monotonic() - 1.0)
    before = time.monotonic()
    answer = await gateway.call("/unsafe/1", "X-Deadline-Ms: 30000")
    assert answer.status == 503
    assert time.monotonic() - before < 0.6
    assert 2.0 <= _retry_after(answer) <= 4.0
    answer = await gateway.call("/unsafe/1", "X-Deadline-Ms: 3000")
    assert 0.9 <= _retry_after(answer) <= 1.0


async def test_request_waits_for_a_router_that_starts(
    gateway: Gateway, start_server: Start
) -> None:
    """Guards against refusing, for a short outage, what is served a moment later."""
    server = await start_server(_answer_ok)
    gateway.view.lose_store(Topic.SERVERS, now=time.monotonic() - 1.0)
    call = asyncio.create_task(gateway.call("/unsafe/1"))
    await asyncio.sleep(0.1)
    gateway.know(server)
    assert (await call).status == 200


def _retry_after(answer: Answer) -> float:
    found = re.search(r"(?i)retry-after: ([0-9.]+)", answer.head)
    assert found
    return float(found[1])


async def test_caller_is_told_when_a_place_is_expected(
    gateway: Gateway, start_server: Start
) -> None:
    """Guards against a caller that waits for a full server until its deadline has passed."""
    server = await start_server(_answer_ok)
    gateway.know(server)
    state = gateway.view.servers.get("s0")
    assert state is not None
    state.health.count_hold(2.0)
    for number in range(-200, 0):
        state.health.open(number, now=time.monotonic())
        state.health.count_byte(now=time.monotonic())
    state.report_load(ReportedLoad(64, 136, 64), now=time.monotonic())
    answer = await gateway.call(
        "/stream/1", "X-Deadline-Ms: 1500", "X-Prompt-Prefix: a1:10,b2:10,c3:10"
    )
    assert answer.status == 503
    assert 0.4 <= _retry_after(answer) <= 0.5
    assert server.seen == []
