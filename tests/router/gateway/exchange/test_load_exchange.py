"""Tests of the exchange of load reports."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_entry

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.exchange._report_channel import EVIDENCE_PREFIX
from cornellead.gateway.exchange._report_channel import RATE_LIMIT_PREFIX
from cornellead.gateway.quarantine import Evidence
from cornellead.gateway.quarantine._evidence import QuarantineItem
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


async def test_router_that_cannot_be_dialled_ends_no_reports(views: Pair) -> None:
    """Guards against an announced address that ends the task which sends load reports."""
    first, second = views
    for number, address in enumerate(("10.0.0.9:65536", "somewhere", "10.0.0.9:", "x:7:y")):
        odd = RouterLocation(address, "dc-a")
        second.apply_announcement(f"odd{number}", odd, now=time.monotonic())
    await asyncio.sleep(0.5)
    state = second.servers.get("s1")
    assert state is not None
    state.health.start_request(1, now=time.monotonic())
    async with asyncio.timeout(2.0):
        while len(first.load) == 0 or _estimated_load(first) == 0.0:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("age_s", [float("inf"), float("-inf"), float("nan"), -1e9, 1e300])
def test_evidence_of_no_possible_age_is_ignored(age_s: float) -> None:
    """Guards against a quarantine without end, and against a task that its time ends."""
    view = FleetView(router="r1")
    exchange = LoadExchange(view=view, address="127.0.0.1:1", clock=time.monotonic)
    evidence = Evidence("r2", [], [], [QuarantineItem("48720f", 1, 3, age_s)])
    exchange.datagram_received(EVIDENCE_PREFIX + msgspec.msgpack.encode(evidence), ("10.0.0.1", 1))
    assert view.guard.quarantined(now=time.monotonic()) == []
    assert exchange.invalid_datagrams == 1


@given(st.binary(max_size=80), st.sampled_from([b"", EVIDENCE_PREFIX, RATE_LIMIT_PREFIX]))
@example(b"\x91" * 100_000, EVIDENCE_PREFIX)
@example(msgspec.msgpack.encode(["r2", {1: -5}]), b"")
def test_datagram_of_any_bytes_is_ignored(data: bytes, prefix: bytes) -> None:
    """Guards against a datagram that raises, or that makes a load negative."""
    view = FleetView(router="r1")
    exchange = LoadExchange(view=view, address="127.0.0.1:1", clock=time.monotonic)
    exchange.datagram_received(prefix + data, ("10.0.0.1", 1))
    assert view.guard.quarantined(now=time.monotonic()) == []
    assert (view.load.estimate_others(1, routers=2, now=time.monotonic()) or 0) >= 0
