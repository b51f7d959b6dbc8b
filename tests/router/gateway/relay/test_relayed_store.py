"""Routers that learn from readers of their data centre, while readers fail."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.builders import make_entry

from cornellead.gateway.beliefs import FleetView
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import Serving
from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.relay import RelayHandler
from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledCaller
from cornellead_core.placement import rank_members
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RouterPlace
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from cornellead_core.routing import HistoryGone

NAMES = [f"r{number}" for number in range(6)]


class CountingStore:
    """A log of servers in memory that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.out = False
        self.notices: list[ServerNotice] = []

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        self.calls += 1
        if self.out:
            return Failure(StoreError("no answer"))
        return Success(NoticeBatch([*self.notices], len(self.notices)))

    async def read_after(
        self, topic: Topic, *, offset: int, wait_s: float
    ) -> Result[NoticeBatch, StoreError | HistoryGone]:
        self.calls += 1
        return Success(NoticeBatch([*self.notices[offset:]], len(self.notices)))

    async def announce(self, router: str, place: RouterPlace | None) -> Result[None, StoreError]:
        return Success(None)


class Router:
    """One router's view of the store, and the listener for its peers."""

    def __init__(self, name: str, address: str, store: CountingStore) -> None:
        self.name = name
        self.place = RouterPlace(address, "dc-a")
        self.view = FleetView(router=name)
        self.store = RelayedStore(
            store=store,
            view=self.view,
            http=PooledCaller(
                pool=ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.2)
            ),
            data_centre="dc-a",
            clock=time.monotonic,
        )
        self.listener = CallerListener(
            address=address,
            handler=RelayHandler(logs=self.store.logs, clock=time.monotonic),
            serving=Serving(),
            limits=lambda: LIMITS,
            clock=time.monotonic,
        )


Routers = tuple[CountingStore, list[Router]]


@pytest.fixture
async def routers(free_address: Callable[[], str]) -> AsyncIterator[Routers]:
    """Yield six routers of one data centre, the readers first, that know each other."""
    store = CountingStore()
    order = rank_members("dc-a", NAMES)
    group = [Router(name, free_address(), store) for name in order]
    for router in group:
        await router.listener.start()
        for other in group:
            router.view.see_router(other.name, other.place, now=time.monotonic())
    yield store, group
    for router in group:
        router.listener.stop_accepting()


async def _servers(router: Router, offset: int) -> list[str]:
    batch = (await router.store.read_after(Topic.SERVERS, offset=offset, wait_s=0.0)).unwrap()
    return [n.server for n in batch.notices if isinstance(n, ServerNotice)]


async def test_only_readers_call_the_store(routers: Routers) -> None:
    """Guards against calls to the store that grow with the number of routers."""
    store, (first, *others) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_newest(Topic.SERVERS)
    store.notices.append(ServerNotice("s2", make_entry("s2"), removed=False))
    await first.store.read_after(Topic.SERVERS, offset=1, wait_s=0.0)
    before = store.calls
    for router in others[1:]:
        batch = (await router.store.read_newest(Topic.SERVERS)).unwrap()
        assert len(batch.notices) == 2
        assert await _servers(router, 1) == ["s2"]
    assert store.calls == before


async def test_router_reads_the_store_itself_when_readers_are_gone(routers: Routers) -> None:
    """Guards against a data centre that hears nothing because its readers failed."""
    store, (first, second, third, *_) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    for router in (first, second):
        router.listener.stop_accepting()
    before = time.monotonic()
    assert await _servers(third, 0) == ["s1"]
    assert time.monotonic() - before < 1.0


async def test_old_notices_of_a_reader_are_not_trusted(routers: Routers) -> None:
    """Guards against a reader that is cut off from the store and goes on answering."""
    store, (first, second, third, *_) = routers
    old = time.monotonic() - 5.0
    for router in (first, second):
        router.store.logs[Topic.SERVERS].replace([], 0, now=old)
    store.notices.append(ServerNotice("s1", None, removed=True))
    assert await _servers(third, 0) == ["s1"]
    assert store.calls == 1


async def test_reader_holds_a_read_until_something_changes(routers: Routers) -> None:
    """Guards against a change that waits for the next poll of each router."""
    store, (first, _, third, *_) = routers
    await first.store.read_newest(Topic.OPERATOR)
    reading = asyncio.create_task(third.store.read_after(Topic.OPERATOR, offset=0, wait_s=1.0))
    await asyncio.sleep(0.1)
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_after(Topic.OPERATOR, offset=0, wait_s=0.0)
    batch = (await asyncio.wait_for(reading, 0.2)).unwrap()
    assert len(batch.notices) == 1


async def test_router_that_starts_in_an_outage_learns_from_any_other(routers: Routers) -> None:
    """Guards against a restarted router that cannot serve while others know all servers."""
    store, (first, *_, last) = routers
    store.out = True
    old = time.monotonic() - 5.0
    known = [ServerNotice("s1", make_entry("s1"), removed=False)]
    last.store.logs[Topic.SERVERS].replace(known, 9, now=old)
    batch = NoticeBatch([], 0)
    async with asyncio.timeout(3.0):
        while not batch.notices:
            # A few of the others are asked, in random order.
            batch = (await first.store.read_newest(Topic.SERVERS)).value_or(batch)
    assert (batch.notices, batch.next_offset) == (known, 9)
    assert batch.age_s >= 5.0
    assert not batch.current


async def test_start_in_an_outage_takes_the_newest_beliefs_of_others(routers: Routers) -> None:
    """Guards against beliefs of a router that was cut off earlier, and against routers that are
    gone and delay the next call to the store."""
    store, (first, *others) = routers
    store.out = True
    for number, router in enumerate(others):
        known = [ServerNotice(f"s{number}", make_entry(f"s{number}"), removed=False)]
        router.store.logs[Topic.SERVERS].replace(known, 9, now=time.monotonic() - 5.0 - number)
    others[-1].listener.stop_accepting()
    before = time.monotonic()
    batch = (await first.store.read_newest(Topic.SERVERS)).unwrap()
    assert time.monotonic() - before < 0.6
    assert batch.age_s < 7.0


async def test_router_that_knows_servers_takes_no_older_ones(routers: Routers) -> None:
    """Guards against beliefs that go back to those of a router which is cut off."""
    store, (first, *others) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_newest(Topic.SERVERS)
    store.out = True
    for router in others:
        router.store.logs[Topic.SERVERS].replace([], 0, now=time.monotonic() - 5.0)
    assert isinstance(await first.store.read_newest(Topic.SERVERS), Failure)
