"""Tests of routers with slow links that read a configuration with many routes from the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.platform_adapter import payloads
from tests.platform_adapter.fake_store import FakeStore
from tests.soak.fault_proxy import Fault
from tests.soak.fault_proxy import FaultProxy

from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.sync import TopicReader
from cornellead.gateway.view import FleetView
from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead_core.metrics import Metrics
from cornellead_core.routing import Position
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import Topic
from cornellead_platform import StoreClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

LINK_BYTES_PER_S = 625_000.0
"""Slowest link of a router that the deployments have: 5 Mbit/s."""
MAX_CONFIG_DELAY_S = 3.0
"""Time after which a change has to be in force on deployments with such links."""
ROUTE_COUNT = 2050
MISSED_VERSIONS = range(20, 32)


class SlowStore:
    """Fake store behind a slow link, and a router's view that follows the operators' changes."""

    def __init__(self, find_address: Callable[[], str]) -> None:
        address = find_address()
        self.store = FakeStore(address=address)
        self.link = FaultProxy(address=find_address(), target=address)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.4)
        http = PooledHttpClient(pool=self.pool)
        self.client = StoreClient(address=self.link.address, http=http)
        self.view = FleetView(router="r1")

    def put_config(self, version: int, *, route_count: int) -> None:
        """Publish a version."""
        config = payloads.large_operator_config(version, route_count=route_count)
        self.store.put("keyed.op", "config", config)

    async def follow(self) -> None:
        """Apply the operators' changes until cancelled."""
        sink = OperatorSink(
            view=self.view, stats=GatewayStats(metrics=Metrics()), clock=time.monotonic
        )
        reader = TopicReader(
            store=self.client, topic=Topic.OPERATOR, sink=sink, wait_s=1.0, interval_s=lambda: 0.0
        )
        await reader.run()

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version is in force."""
        while self.view.config is None or self.view.config.version != version:
            await asyncio.sleep(0.01)


@pytest.fixture
async def slow_store(free_address: Callable[[], str]) -> AsyncIterator[SlowStore]:
    """Yield a store behind a slow link."""
    slow_store = SlowStore(free_address)
    await slow_store.store.start()
    await slow_store.link.start()
    yield slow_store
    slow_store.pool.close()
    slow_store.link.stop()
    slow_store.store.stop()


@pytest.fixture
async def interrupted_store(slow_store: SlowStore) -> AsyncIterator[SlowStore]:
    """Yield a store whose router missed many versions in an outage that has just ended."""
    slow_store.put_config(7, route_count=10)
    following = asyncio.create_task(slow_store.follow())
    async with asyncio.timeout(2.0):
        await slow_store.wait_for_version(7)
    slow_store.link.set_fault(Fault.RESET)
    for version in MISSED_VERSIONS:
        slow_store.put_config(version, route_count=ROUTE_COUNT)
    await asyncio.sleep(0.3)
    slow_store.link.set_fault(Fault.NONE)
    yield slow_store
    following.cancel()


async def test_missed_versions_do_not_delay_the_newest(interrupted_store: SlowStore) -> None:
    """Guards against a router that transfers every version that it missed."""
    async with asyncio.timeout(MAX_CONFIG_DELAY_S):
        await interrupted_store.wait_for_version(MISSED_VERSIONS[-1])


async def test_older_version_is_not_confirmed(interrupted_store: SlowStore) -> None:
    """Guards against permanently rejecting unknown routes while later versions are unread."""
    view, restored_at = interrupted_store.view, time.monotonic()
    for _ in range(150):
        await asyncio.sleep(0.02)
        if view.config is not None and view.config.version == MISSED_VERSIONS[-1]:
            return
        assert view.confirmed_at is not None and view.confirmed_at < restored_at


async def test_large_configuration_is_loaded_at_startup(slow_store: SlowStore) -> None:
    """Guards against routers that never become ready after a restart of all of them."""
    slow_store.put_config(7, route_count=ROUTE_COUNT)
    async with asyncio.timeout(MAX_CONFIG_DELAY_S):
        batch = (await slow_store.client.read_newest(Topic.OPERATOR)).unwrap()
    (notice,) = batch.notices
    assert isinstance(notice, RoutingNotice) and notice.data is not None
    assert len(notice.data.routes) == ROUTE_COUNT


async def test_age_includes_the_transfer(slow_store: SlowStore) -> None:
    """Guards against counting a configuration as confirmed when its transfer ends, though the store
    may have got a later version during the transfer."""
    slow_store.put_config(7, route_count=1000)
    batch = (
        await slow_store.client.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    ).unwrap()
    assert batch.read is not None
    assert batch.read.transfer_s > 0.2
    assert batch.age_s >= batch.read.transfer_s
