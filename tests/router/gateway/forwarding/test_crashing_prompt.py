"""Requests with a prompt part that crashes each server which begins to answer it."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from itertools import count
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from tests.router.gateway.gateway_harness import Gateway
from tests.router.gateway.scripted_server import ScriptedServer
from tests.router.gateway.scripted_server import encode_events

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.quarantine import QuarantinedPart
from cornellead_core.routing import RouterLocation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]
    Crash = Callable[[ScriptedExchange, ScriptedServer], Awaitable[None]]

DEADLY = "dead"
BETWEEN_REQUESTS_S = 0.3
MAX_CRASHES = 5
"""Crashes after which no further server may get the part."""
QUARANTINE_S = 600.0
REPORT_TIME_S = 0.5
"""Time for evidence to reach another router: two intervals of load reports."""

_numbers = count(1)


class Fleet(NamedTuple):
    """Gateways that exchange reports, and the servers before which they stand."""

    gateways: list[Gateway]
    servers: list[ScriptedServer]

    @property
    def crashes(self) -> int:
        """Number of servers that got a request with a deadly part."""
        return sum(
            any("dead" in seen.header("x-prompt-prefix") for seen in server.received)
            for server in self.servers
        )


def prompt(*parts: str) -> str:
    """Return the header for a prompt of these parts and one of its own."""
    listed = [f"{part}:80" for part in (*parts, f"own{next(_numbers)}")]
    return f"X-Prompt-Prefix: {','.join(listed)}"


async def _crash_in_an_event(exchange: ScriptedExchange, server: ScriptedServer) -> None:
    await exchange.begin_stream()
    await exchange.send(b"6\r\nid: 1\n\r\n")
    server.crash()


async def _end_with_the_connection(exchange: ScriptedExchange, server: ScriptedServer) -> None:
    head = exchange.stream_head().replace(b"Transfer-Encoding: chunked\r\n", b"")
    await exchange.send(head + b"id: 1\nda")
    await asyncio.sleep(0.01)
    server.stop()
    exchange.writer.close()


async def _end_before_an_event(exchange: ScriptedExchange, server: ScriptedServer) -> None:
    await exchange.begin_without_length()
    await server.end()


async def _end_between_events(exchange: ScriptedExchange, server: ScriptedServer) -> None:
    await exchange.begin_without_length()
    await exchange.send(encode_events(1, 1))
    await asyncio.sleep(0.01)
    await server.end()


async def _crash_after_a_late_event(exchange: ScriptedExchange, server: ScriptedServer) -> None:
    await exchange.begin_stream()
    await asyncio.sleep(0.6)
    await exchange.send_events(1, 1)
    await asyncio.sleep(0.01)
    server.crash()


async def make_server(
    start_server: StartServer, *, also_crash: str = "none", crash: Crash = _crash_in_an_event
) -> ScriptedServer:
    """Start a server that crashes when it begins to answer a deadly part."""

    async def answer(exchange: ScriptedExchange) -> None:
        if DEADLY in exchange.header("x-prompt-prefix") or also_crash in exchange.head.decode():
            await crash(exchange, server)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 3)
        await exchange.end_stream()

    server = await start_server(answer)
    return server


@asynccontextmanager
async def exchange_reports(gateways: list[Gateway], addresses: list[str]) -> AsyncIterator[None]:
    """Announce the gateways to each other and run their exchange of reports."""
    tasks = []
    for gateway, address in zip(gateways, addresses, strict=True):
        for other in gateways:
            other.view.apply_announcement(
                gateway.view.router, RouterLocation(address, "dc-a"), now=time.monotonic()
            )
        exchange = LoadExchange(view=gateway.view, address=address, clock=time.monotonic)
        tasks.append(asyncio.create_task(exchange.run()))
    yield
    for task in tasks:
        task.cancel()


@pytest.fixture
async def fleet(start_server: StartServer, free_address: Callable[[], str]) -> AsyncIterator[Fleet]:
    """Yield two gateways before twelve servers."""
    servers = [await make_server(start_server) for _ in range(12)]
    gateways = [Gateway(free_address(), router=name) for name in ("r1", "r2")]
    for gateway in gateways:
        await gateway.listener.start()
        gateway.configure(*servers, max_attempts=5)
    async with exchange_reports(gateways, [free_address(), free_address()]):
        yield Fleet(gateways, servers)
    for gateway in gateways:
        gateway.listener.stop_accepting()
        gateway.pool.close()


async def call(gateway: Gateway, *parts: str, route: str = "stream") -> CallerResponse:
    """Send a request and leave time for the evidence to spread."""
    response = await gateway.call(f"/{route}/1", prompt(*parts))
    await asyncio.sleep(BETWEEN_REQUESTS_S)
    return response


async def test_part_that_crashes_servers_is_refused_by_all_routers(fleet: Fleet) -> None:
    """Guards against requests that crash server after server, sent by one router after another."""
    statuses = []
    for number in range(10):
        gateway = fleet.gateways[number % 2]
        assert (await call(gateway, "shared", "thing")).status == 200
        statuses.append((await call(gateway, "shared", "thing", DEADLY)).status)
    assert fleet.crashes <= MAX_CRASHES
    assert statuses[-3:] == [503, 503, 503]


async def _count_servers_until_refusal(
    gateway: Gateway, start_server: StartServer, crash: Crash
) -> int:
    """Return the number of servers that got the deadly part before it is refused."""
    servers = [await make_server(start_server, crash=crash) for _ in range(3 * MAX_CRASHES)]
    gateway.configure(*servers, max_attempts=5)
    for _ in range(2 * MAX_CRASHES):
        assert (await call(gateway, "shared", "thing")).status == 200
        response = await call(gateway, "shared", "thing", DEADLY)
    assert response.status == 503
    return Fleet([gateway], servers).crashes


async def test_part_is_refused_if_answers_end_with_their_connection(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against crashes that leave no evidence, as the connection ends inside an event
    (review/1)."""
    crashes = await _count_servers_until_refusal(gateway, start_server, _end_with_the_connection)
    assert crashes <= MAX_CRASHES


@pytest.mark.parametrize("crash", [_end_before_an_event, _end_between_events])
async def test_part_is_refused_if_answers_look_whole_at_the_crash(
    gateway: Gateway, start_server: StartServer, crash: Crash
) -> None:
    """Guards against crashes that count as answers, as the connection ends behind the head or an
    event (review/6)."""
    assert await _count_servers_until_refusal(gateway, start_server, crash) <= MAX_CRASHES


@pytest.mark.parametrize("crash", [_end_before_an_event, _end_between_events])
async def test_crash_that_looks_like_an_answer_does_not_lift_a_quarantine(
    gateway: Gateway, start_server: StartServer, crash: Crash
) -> None:
    """Guards against a quarantine that ends since the trial of its part crashed a server."""
    gateway.configure(await make_server(start_server, crash=crash))
    guard, now = gateway.view.guard, time.monotonic()
    held = QuarantinedPart(DEADLY, 1, 3, now - 1.01 * QUARANTINE_S)
    assert guard.restore(held, source="store") and held.until < now < held.forgotten_at
    await call(gateway, "shared", DEADLY)
    assert [part.part for part in guard.quarantined(now=time.monotonic())] == [DEADLY]
    assert (await call(gateway, "shared", DEADLY)).status == 503


async def test_part_is_refused_if_its_first_event_comes_late(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a first event that counts as proof because the head came long before
    (review/4)."""
    crashes = await _count_servers_until_refusal(gateway, start_server, _crash_after_a_late_event)
    assert crashes <= MAX_CRASHES


async def test_refusal_of_a_crashing_part_says_when_to_return(fleet: Fleet) -> None:
    """Guards against callers that repeat at once what will be refused for minutes."""
    for _ in range(MAX_CRASHES):
        await call(fleet.gateways[0], "shared", DEADLY)
    response = await call(fleet.gateways[0], "shared", DEADLY)
    assert response.status == 503
    assert float(response.head.lower().partition("retry-after:")[2].split("\r\n")[0]) > 60


async def test_two_crashing_parts_at_once_are_both_refused(fleet: Fleet) -> None:
    """Guards against a second crashing part that hides behind the first one."""
    for number in range(2 * MAX_CRASHES):
        await call(fleet.gateways[number % 2], "shared", f"{DEADLY}{number % 2}")
    for gateway in fleet.gateways:
        for number in range(2):
            assert (await call(gateway, "shared", f"{DEADLY}{number}")).status == 503
    assert fleet.crashes <= 2 * MAX_CRASHES


async def test_request_that_crashed_servers_is_not_sent_on_and_on(fleet: Fleet) -> None:
    """Guards against one request of a resumable route that crashes all the servers it may try."""
    await call(fleet.gateways[0], "shared", DEADLY, route="resumable")
    assert fleet.crashes <= 2


async def test_popular_part_is_served_while_servers_crash_for_other_reasons(
    start_server: StartServer, gateway: Gateway
) -> None:
    """Guards against a sound part that is refused since many of its requests met crashes."""
    servers = [await make_server(start_server, also_crash="/stream/crash") for _ in range(8)]
    gateway.configure(*servers)
    for _ in range(6):
        popular = [asyncio.create_task(call(gateway, "popular")) for _ in range(3)]
        await gateway.call("/stream/crash", prompt("popular"))
        for response in [await task for task in popular]:
            assert response.status in (200, 502)
    assert (await call(gateway, "popular")).status == 200
