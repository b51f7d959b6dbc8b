"""Tests of the exchange of load reports."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.view import FleetView
from cornellead_core.routing import RouterLocation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

Pair = tuple[FleetView, FleetView]


@pytest.fixture
async def views(free_address: Callable[[], str]) -> AsyncIterator[Pair]:
    """Yield the fleet views of two routers that exchange reports."""
    views = FleetView(router="r1"), FleetView(router="r2")
    addresses = free_address(), free_address()
    tasks = []
    for index, view in enumerate(views):
        other = 1 - index
        location = RouterLocation(addresses[other], "dc-a")
        view.apply_announcement(views[other].router, location, now=time.monotonic())
        view.servers.put(make_entry("s1"), now=time.monotonic())
        exchange = LoadExchange(view=view, address=addresses[index], clock=time.monotonic)
        tasks.append(asyncio.create_task(exchange.run()))
    yield views
    for task in tasks:
        task.cancel()


def _estimated_load(view: FleetView) -> float:
    state = view.servers.get("s1")
    assert state is not None
    return state.load(view.load, routers=2, now=time.monotonic())


async def test_routers_receive_each_others_load(views: Pair) -> None:
    """Guards against reports that are not sent or not applied, so that each router limits only its
    own requests."""
    first, second = views
    state = second.servers.get("s1")
    assert state is not None
    for number in range(7):
        state.health.start_request(number, now=time.monotonic())
    async with asyncio.timeout(2.0):
        while _estimated_load(first) != 7.0:
            await asyncio.sleep(0.02)
    assert _estimated_load(second) == 7.0


async def test_invalid_datagram_is_ignored(views: Pair) -> None:
    """Guards against a crash on a datagram that is not a load report."""
    first, second = views
    address = next(iter(second.peers(now=time.monotonic()).values())).address
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=(host, int(port))
    )
    transport.sendto(b"\xc1 nonsense")
    await asyncio.sleep(0.5)
    transport.close()
    assert _estimated_load(first) == 0.0


async def test_reports_reveal_router_addresses(
    views: Pair, free_address: Callable[[], str]
) -> None:
    """Guards against a router that starts during a store outage and finds no other router."""
    first, second = views
    started = FleetView(router="r3")
    address = free_address()
    exchange = LoadExchange(view=started, address=address, clock=time.monotonic)
    task = asyncio.create_task(exchange.run())
    first.apply_announcement("r3", RouterLocation(address, "dc-a"), now=time.monotonic())
    own = second.peers(now=time.monotonic())["r1"].address
    async with asyncio.timeout(2.0):
        while not started.peers(now=time.monotonic()):
            await asyncio.sleep(0.02)
    assert {n: p.address for n, p in started.peers(now=time.monotonic()).items()} == {"r1": own}
    task.cancel()
