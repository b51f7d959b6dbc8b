"""Routers that read a store which tests bring back from older copies."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from tests.platform_adapter import payloads
from tests.platform_adapter.fake_store import FakeStore
from tests.router.gateway.builders import LIMITS

from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.relay import RelayHandler
from cornellead.gateway.relay import RelayPage
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import NoticeSink
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.sync import RouterSink
from cornellead.gateway.sync import ServerSink
from cornellead.gateway.sync import TopicReader
from cornellead.gateway.view import FleetView
from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead_core.metrics import Metrics
from cornellead_core.placement import rank_members
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import HttpResponse
from cornellead_core.routing import Position
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import Topic
from cornellead_platform import StoreClient

if TYPE_CHECKING:
    from collections.abc import Callable

OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
HEARTBEAT_S = 1.2


class GatedHttpClient:
    """An HTTP client that can be cut off from the store."""

    def __init__(self, http: PooledHttpClient) -> None:
        self._http = http
        self.cut_off = False

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpResponse, str]:
        """Send a request unless the router is cut off."""
        if self.cut_off:
            return Failure("cut off")
        return await self._http.call(address, method, target, body=body, timeout_s=timeout_s)


class RestoredRouter:
    """A router without callers, whose reads tests make one by one."""

    def __init__(self, name: str, address: str, store_address: str) -> None:
        self.name = name
        self.now_offset_s = 0.0
        self.location = RouterLocation(address, "dc-a")
        self.view = FleetView(router=name)
        pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.2)
        http = PooledHttpClient(pool=pool)
        self.store_path = GatedHttpClient(http)
        self.store = RelayedStore(
            store=StoreClient(address=store_address, http=self.store_path),
            view=self.view,
            http=http,
            location=self.location,
            clock=self.clock,
            heartbeat_s=lambda: HEARTBEAT_S,
        )
        stats = GatewayStats(metrics=Metrics())
        self.router_sink = RouterSink(view=self.view, clock=self.clock)
        sinks: dict[Topic, NoticeSink] = {
            Topic.OPERATOR: OperatorSink(view=self.view, stats=stats, clock=self.clock),
            Topic.SERVERS: ServerSink(
                view=self.view, stats=stats, clock=self.clock, on_ended=lambda state: None
            ),
            Topic.ROUTERS: self.router_sink,
        }
        self.readers = {
            topic: TopicReader(
                store=self.store, topic=topic, sink=sink, wait_s=0.0, interval_s=lambda: 0.0
            )
            for topic, sink in sinks.items()
        }
        self.listener = CallerListener(
            address=address,
            handler=RelayHandler(logs=self.store.logs, view=self.view, clock=self.clock),
            serving=ServingState(),
            limits=lambda: LIMITS,
            clock=time.monotonic,
        )

    def clock(self) -> float:
        """Return seconds, with the time that a test has skipped."""
        return time.monotonic() + self.now_offset_s

    async def read(self, topic: Topic, times: int = 1) -> None:
        """Read a topic as the router's task does."""
        for _ in range(times):
            await self.readers[topic]._read()

    def name_no_era(self) -> None:
        """Respond to other routers as one of an earlier build does."""
        for log in self.store.logs.values():
            log.read = partial(_read_without_era, log.read)  # type: ignore[method-assign]

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        return self.view.config.version if self.view.config else 0

    @property
    def usable(self) -> set[str]:
        """Servers that receive requests."""
        return {state.entry.server for state in self.view.servers.usable("llm")}


def _read_without_era(
    read: Callable[..., RelayPage | None], position: Position | None, *, now: float
) -> RelayPage | None:
    page = read(None if position is None else Position(position.offset), now=now)
    return None if page is None else page._replace(era=UNKNOWN_ERA)


class RestoredFleet:
    """A store, and the routers of a data centre in rank order: the first one is its reader."""

    def __init__(self, free_address: Callable[[], str], *, routers: int) -> None:
        self._free_address = free_address
        self._hosts: dict[str, int] = {}
        """Numbers of the hosts of servers, by name."""
        self.store_address = free_address()
        self.store = FakeStore(address=self.store_address)
        names = rank_members("dc-a", [f"r{number}" for number in range(routers)])
        self.routers = [self._make_router(name) for name in names]

    async def start(self) -> None:
        """Start the store and the listeners of the routers, and name them to each other."""
        await self.store.start()
        for router in self.routers:
            await router.listener.start()
            self._introduce(router)

    def stop(self) -> None:
        """Stop all listeners."""
        self.store.stop()
        for router in self.routers:
            router.listener.stop_accepting()

    async def restart(self, number: int) -> RestoredRouter:
        """Replace a router by one that knows nothing but the others' addresses."""
        before = self.routers[number]
        before.listener.stop_accepting()
        self.routers[number] = self._make_router(before.name)
        await self.routers[number].listener.start()
        for router in self.routers:
            self._introduce(router)
        return self.routers[number]

    def put_config(self, version: int) -> None:
        """Write a configuration as the operator does."""
        self.store.put(OPERATOR, "config", payloads.operator_config(version))

    def put_server(self, name: str, **changes: object) -> None:
        """Write the entry of a server as the server does, at an address of its own."""
        host = self._hosts.setdefault(name, len(self._hosts) + 1)
        entry = payloads.server_entry(f"10.0.{host >> 8}.{host & 255}:80") | changes
        self.store.put(SERVERS, name, entry)

    def remove_server(self, name: str) -> None:
        """Remove the entry of a server."""
        self.store.put(SERVERS, name, None)

    def end(self, number: int) -> None:
        """End a router, which announces it."""
        ended = self.routers.pop(number)
        ended.listener.stop_accepting()
        for router in self.routers:
            router.view.apply_announcement(ended.name, None, now=router.clock())

    async def read(self, topic: Topic, times: int = 1) -> None:
        """Let all routers read a topic in rank order."""
        for _ in range(times):
            for router in self.routers:
                await router.read(topic)

    def _make_router(self, name: str) -> RestoredRouter:
        return RestoredRouter(name, self._free_address(), self.store_address)

    def _introduce(self, router: RestoredRouter) -> None:
        for other in self.routers:
            router.view.apply_announcement(other.name, other.location, now=router.clock())
            other.view.apply_announcement(router.name, router.location, now=other.clock())
