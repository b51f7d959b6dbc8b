"""Tests of routers that read notices via the readers of their data centre while readers fail."""

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

from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.relay import RelayHandler
from cornellead.gateway.relay._relayed_store import STORE_BACKOFF_S
from cornellead.gateway.view import FleetView
from cornellead.gateway.view._fleet_view import ROUTER_EXPIRY_S
from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead_core.placement import rank_members
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from cornellead_core.routing import OffsetExpired

NAMES = [f"r{number}" for number in range(6)]


class CountingStore:
    """In-memory store of server notices that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.unavailable = False
        self.notices: list[ServerNotice] = []

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        self.calls += 1
        if self.unavailable:
            return Failure(StoreError("no answer"))
        return Success(NoticeBatch([*self.notices], len(self.notices)))

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        self.calls += 1
        if self.unavailable:
            return Failure(StoreError("no answer"))
        return Success(NoticeBatch([*self.notices[position.offset :]], len(self.notices)))

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        return Success(UNKNOWN_ERA)

    async def publish_quarantine(
        self, part: str, mark: QuarantineMark | None
    ) -> Result[None, StoreError]:
        return Success(None)


class RouterFixture:
    """A router's view of the fleet, its relayed store, and the listener for other routers."""

    def __init__(
        self, name: str, address: str, store: CountingStore, *, link_mbps: float = 0.0
    ) -> None:
        self.name = name
        self.location = RouterLocation(address, "dc-a", link_mbps)
        self.view = FleetView(router=name)
        self.store = RelayedStore(
            store=store,
            view=self.view,
            http=PooledHttpClient(
                pool=ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.2)
            ),
            location=self.location,
            clock=time.monotonic,
        )
        self.listener = CallerListener(
            address=address,
            handler=RelayHandler(logs=self.store.logs, view=self.view, clock=time.monotonic),
            serving=ServingState(),
            limits=lambda: LIMITS,
            clock=time.monotonic,
        )


RouterGroup = tuple[CountingStore, list[RouterFixture]]


@pytest.fixture
async def routers(free_address: Callable[[], str]) -> AsyncIterator[RouterGroup]:
    """Yield six routers of one data centre that have each other's addresses, in rank order."""
    store = CountingStore()
    order = rank_members("dc-a", NAMES)
    group = [RouterFixture(name, free_address(), store) for name in order]
    for router in group:
        await router.listener.start()
        for other in group:
            router.view.apply_announcement(other.name, other.location, now=time.monotonic())
    yield store, group
    for router in group:
        router.listener.stop_accepting()


async def _read_servers(router: RouterFixture, offset: int) -> list[str]:
    batch = (
        await router.store.read_after(Topic.SERVERS, position=Position(offset), wait_s=0.0)
    ).unwrap()
    return [n.server for n in batch.notices if isinstance(n, ServerNotice)]


async def test_only_readers_call_the_store(routers: RouterGroup) -> None:
    """Guards against a number of store calls that grows with the number of routers."""
    store, (first, *others) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_newest(Topic.SERVERS)
    store.notices.append(ServerNotice("s2", make_entry("s2"), removed=False))
    await first.store.read_after(Topic.SERVERS, position=Position(1), wait_s=0.0)
    before = store.calls
    for router in others[1:]:
        batch = (await router.store.read_newest(Topic.SERVERS)).unwrap()
        assert len(batch.notices) == 2
        assert await _read_servers(router, 1) == ["s2"]
    assert store.calls == before


async def test_router_reads_the_store_when_readers_fail(routers: RouterGroup) -> None:
    """Guards against a data centre that receives no notices because its readers failed."""
    store, (first, second, third, *_) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    for router in (first, second):
        router.listener.stop_accepting()
    before = time.monotonic()
    assert await _read_servers(third, 0) == ["s1"]
    assert time.monotonic() - before < 1.0


async def test_old_page_of_a_reader_is_not_used(routers: RouterGroup) -> None:
    """Guards against a reader that lost its connection to the store and still responds."""
    store, (first, second, third, *_) = routers
    old = time.monotonic() - 5.0
    for router in (first, second):
        router.store.logs[Topic.SERVERS].replace([], Position(0), now=old)
    store.notices.append(ServerNotice("s1", None, removed=True))
    assert await _read_servers(third, 0) == ["s1"]
    assert store.calls == 1


async def test_reader_holds_a_read_until_a_change(routers: RouterGroup) -> None:
    """Guards against a change that is delayed until the next poll of each router."""
    store, (first, _, third, *_) = routers
    await first.store.read_newest(Topic.OPERATOR)
    reading = asyncio.create_task(
        third.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=1.0)
    )
    await asyncio.sleep(0.1)
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    batch = (await asyncio.wait_for(reading, 0.2)).unwrap()
    assert len(batch.notices) == 1


async def test_router_started_in_an_outage_reads_from_any_other(routers: RouterGroup) -> None:
    """Guards against a restarted router that cannot serve callers although other routers have the
    list of servers."""
    store, (first, *_, last) = routers
    store.unavailable = True
    old = time.monotonic() - 5.0
    server_notices = [ServerNotice("s1", make_entry("s1"), removed=False)]
    last.store.logs[Topic.SERVERS].replace(server_notices, Position(9), now=old)
    batch = NoticeBatch([], 0)
    async with asyncio.timeout(3.0):
        while not batch.notices:
            # Each read queries a random sample of the other routers.
            batch = (await first.store.read_newest(Topic.SERVERS)).value_or(batch)
    assert (batch.notices, batch.next_offset) == (server_notices, 9)
    assert batch.age_s >= 5.0
    assert not batch.is_current


async def test_router_started_in_an_outage_uses_the_newest_page(routers: RouterGroup) -> None:
    """Guards against using the notices of a router that lost the store earlier than others, and
    against stopped routers that delay the next store call."""
    store, (first, *others) = routers
    store.unavailable = True
    for number, router in enumerate(others):
        server_notices = [ServerNotice(f"s{number}", make_entry(f"s{number}"), removed=False)]
        router.store.logs[Topic.SERVERS].replace(
            server_notices, Position(9), now=time.monotonic() - 5.0 - number
        )
    others[-1].listener.stop_accepting()
    before = time.monotonic()
    batch = (await first.store.read_newest(Topic.SERVERS)).unwrap()
    assert time.monotonic() - before < 0.6
    assert batch.age_s < 7.0


async def test_reader_cut_off_from_the_store_follows_other_routers(
    free_address: Callable[[], str],
) -> None:
    """Guards against a reader that misses changes while the store rejects only this router."""
    rejecting, serving = CountingStore(), CountingStore()
    names = rank_members("dc-a", NAMES)
    cut_off = RouterFixture(names[0], free_address(), rejecting)
    others = [RouterFixture(name, free_address(), serving) for name in names[1:]]
    for router in (cut_off, *others):
        await router.listener.start()
        await router.store.read_newest(Topic.OPERATOR)
    rejecting.unavailable = True
    serving.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    for router in others:
        await router.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
        cut_off.view.apply_announcement(router.name, router.location, now=time.monotonic())
    result = await cut_off.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    for router in (cut_off, *others):
        router.listener.stop_accepting()
    batch = result.unwrap()
    assert [n.server for n in batch.notices if isinstance(n, ServerNotice)] == ["s1"]
    assert batch.is_current


async def test_router_does_not_rely_on_a_reader_without_the_store(routers: RouterGroup) -> None:
    """Guards against routers that wait for changes at a reader which lost the store, or that read
    from each other."""
    store, (first, _, third, *_) = routers
    await first.store.read_newest(Topic.OPERATOR)
    reading = asyncio.create_task(
        third.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=1.0)
    )
    await asyncio.sleep(0.1)
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    first.store.logs[Topic.OPERATOR].set_from_store(False)
    batch = (await asyncio.wait_for(reading, 0.2)).unwrap()
    assert len(batch.notices) == 1
    assert third.store.logs[Topic.OPERATOR].from_store


async def test_reader_that_responds_does_not_expire(routers: RouterGroup) -> None:
    """Guards against routers that leave a reader whose announcement did not change."""
    _, (first, _, third, *_) = routers
    await first.store.read_newest(Topic.OPERATOR)
    read_at = time.monotonic()
    third.view.apply_announcement(first.name, first.location, now=read_at - ROUTER_EXPIRY_S + 0.5)
    await third.store.read_newest(Topic.OPERATOR)
    assert third.view.peers(now=read_at + 1.0)[first.name] == first.location


async def test_next_router_in_rank_replaces_a_failed_reader(routers: RouterGroup) -> None:
    """Guards against a data centre whose routers all read the store when its reader fails."""
    store, (first, second, third, *_) = routers
    first.listener.stop_accepting()
    await second.store.read_newest(Topic.SERVERS)
    before = store.calls
    assert (await third.store.read_newest(Topic.SERVERS)).unwrap().next_offset == 0
    assert store.calls == before


async def test_reader_is_the_router_with_the_fastest_link(free_address: Callable[[], str]) -> None:
    """Guards against a data centre that waits while its reader receives a large configuration over
    a slow link."""
    store = CountingStore()
    slow, *_, fast = rank_members("dc-a", NAMES)
    reader = RouterFixture(fast, free_address(), store, link_mbps=100.0)
    follower = RouterFixture(slow, free_address(), store, link_mbps=5.0)
    for router, other in ((reader, follower), (follower, reader)):
        await router.listener.start()
        router.view.apply_announcement(other.name, other.location, now=time.monotonic())
    for router in (reader, follower):
        await router.store.read_newest(Topic.OPERATOR)
    for router in (reader, follower):
        router.listener.stop_accepting()
    assert (store.calls, reader.store.relayed, follower.store.relayed) == (1, 0, 1)


async def test_other_routers_are_asked_before_a_store_that_was_lost(
    routers: RouterGroup,
) -> None:
    """Guards against a router that transfers large records from the store after an outage though
    other routers have them in a small part of their size."""
    store, (first, *others) = routers
    for router in (first, *others):
        await router.store.read_newest(Topic.OPERATOR)
    store.unavailable = True
    relayed = await first.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    assert isinstance(relayed, Success)
    store.unavailable = False
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    for router in others:
        router.store.logs[Topic.OPERATOR].add([*store.notices], Position(1), now=time.monotonic())
    await asyncio.sleep(STORE_BACKOFF_S)
    before = store.calls
    batch = (
        await first.store.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    ).unwrap()
    assert (len(batch.notices), batch.next_offset, store.calls) == (1, 1, before)
    await first.store.read_after(Topic.OPERATOR, position=Position(1), wait_s=0.0)
    assert store.calls == before + 1


async def test_loaded_router_ignores_older_pages(routers: RouterGroup) -> None:
    """Guards against replacing newer notices with those of a router that lost its connection to the
    store."""
    store, (first, *others) = routers
    store.notices.append(ServerNotice("s1", make_entry("s1"), removed=False))
    await first.store.read_newest(Topic.SERVERS)
    store.unavailable = True
    for router in others:
        router.store.logs[Topic.SERVERS].replace([], Position(0), now=time.monotonic() - 5.0)
    assert isinstance(await first.store.read_newest(Topic.SERVERS), Failure)


class SlowStore(CountingStore):
    """A store whose newest records take long to arrive over the link of a small host."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        await asyncio.sleep(2.0)
        return await super().read_newest(topic)


@pytest.mark.parametrize("topic", [Topic.OPERATOR, Topic.SERVERS])
async def test_starting_router_takes_the_page_of_one_that_it_hears_of(
    free_address: Callable[[], str], topic: Topic
) -> None:
    """Guards against a restarted router that serves nobody while a large configuration arrives from
    the store, though another router has it in a small page."""
    running = RouterFixture("a", free_address(), CountingStore(), link_mbps=100.0)
    starting = RouterFixture("b", free_address(), SlowStore(), link_mbps=10.0)
    await running.listener.start()
    assert isinstance(await running.store.read_newest(topic), Success)
    read = asyncio.create_task(starting.store.read_newest(topic))
    await asyncio.sleep(0.05)
    starting.view.add_reporting_router("a", running.location, now=time.monotonic())
    batch = (await asyncio.wait_for(read, 0.5)).unwrap()
    assert batch.read is not None and batch.read.source == "a"
    running.listener.stop_accepting()


async def test_starting_router_does_not_take_an_old_page(
    free_address: Callable[[], str],
) -> None:
    """Guards against a restarted router that begins with a configuration that has changed."""
    running = RouterFixture("a", free_address(), CountingStore(), link_mbps=100.0)
    starting = RouterFixture("b", free_address(), SlowStore(), link_mbps=10.0)
    await running.listener.start()
    running.store.logs[Topic.OPERATOR].replace([], Position(0), now=time.monotonic() - 1.5)
    starting.view.add_reporting_router("a", running.location, now=time.monotonic())
    batch = (await starting.store.read_newest(Topic.OPERATOR)).unwrap()
    assert batch.read is None
    running.listener.stop_accepting()
