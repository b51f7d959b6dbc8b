"""Quarantines in the store, which outlive the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.quarantine import CrashReport
from cornellead.gateway.sync import QuarantinePublisher
from cornellead.gateway.sync import RouterSink
from cornellead.gateway.view import FleetView
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from cornellead_core.routing import Notice
    from cornellead_core.routing import QuarantineMark

UNIX_OFFSET_S = 1_796_000_000.0


class MemoryStore:
    """Keeps the published notices, and rejects them while it is down."""

    def __init__(self) -> None:
        self.notices: list[Notice] = []
        self.down = False

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        raise NotImplementedError

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        raise NotImplementedError

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        raise NotImplementedError

    async def publish_quarantine(
        self, part: str, mark: QuarantineMark | None
    ) -> Result[None, StoreError]:
        if self.down:
            return Failure(StoreError("down"))
        self.notices.append(QuarantineNotice(part, mark))
        return Success(None)


class Router:
    """A router's view with its reader and publisher of quarantines, on a clock that tests set."""

    def __init__(self, name: str, store: MemoryStore, *, others: tuple[str, ...] = ()) -> None:
        self.now = 0.0
        self.view = FleetView(router=name)
        for other in others:
            self.view.apply_announcement(other, RouterLocation("a:1", "dc-a"), now=0.0)
        self.store = store
        self.sink = RouterSink(
            view=self.view, clock=lambda: self.now, wall_clock=lambda: UNIX_OFFSET_S + self.now
        )
        self.publisher = QuarantinePublisher(
            store=store,
            view=self.view,
            sink=self.sink,
            clock=lambda: self.now,
            wall_clock=lambda: UNIX_OFFSET_S + self.now,
        )

    def see_crashes(self, part: str, *, at: float) -> None:
        """Record crashes that quarantine a part."""
        for number in range(3):
            report = CrashReport(number, number, (part,), at + number)
            self.view.guard.record_crash([report], now=at + number)
        self.now = at + 2.0

    def read_store(self) -> None:
        """Apply the newest notice of each part."""
        newest = {n.part: n for n in self.store.notices if isinstance(n, QuarantineNotice)}
        present: list[Notice] = [notice for notice in newest.values() if notice.mark]
        self.sink.apply_snapshot(NoticeBatch(present, len(self.store.notices)))

    def refuses(self, part: str) -> bool:
        """Return whether a request with the part is refused."""
        return self.view.guard.find_refused((part,), routers=["x"], now=self.now) is not None


async def test_quarantine_outlives_the_loss_of_all_routers() -> None:
    """Guards against crashes that begin anew when all routers are restarted at once."""
    store = MemoryStore()
    router = Router("r1", store)
    router.see_crashes("bad", at=5.0)
    await router.publisher.publish_differences()
    restarted = Router("r1", store)
    restarted.now = 60.0
    restarted.read_store()
    assert restarted.refuses("bad")
    restarted.now = 2.0 + 5.0 + 601.0 + 600.0
    assert not restarted.refuses("bad")


async def test_quarantine_is_published_after_a_store_outage() -> None:
    """Guards against a quarantine that is lost since the store was away when it began."""
    store = MemoryStore()
    store.down = True
    router = Router("r1", store)
    router.see_crashes("bad", at=5.0)
    await router.publisher.publish_differences()
    store.down = False
    await router.publisher.publish_differences()
    await router.publisher.publish_differences()
    assert len(store.notices) == 1


@pytest.mark.parametrize("first_is_cut_off", [False, True])
async def test_one_router_publishes_and_the_next_one_if_it_does_not(
    first_is_cut_off: bool,
) -> None:
    """Guards against hundreds of routers that publish the same, and against none that does."""
    store = MemoryStore()
    names = ("r1", "r2", "r3")
    routers = [
        Router(name, store, others=tuple(other for other in names if other != name))
        for name in names
    ]
    for router in routers:
        router.see_crashes("bad", at=1.0)
    for step in range(30):
        for router in routers:
            router.now = 3.0 + 0.5 * step
            if store.notices:
                router.read_store()
            published = len(store.notices)
            store.down = first_is_cut_off and router is routers[0]
            await router.publisher.publish_differences()
            assert len(store.notices) <= 1, (router.view.router, published)
    assert len(store.notices) == 1


async def test_lifted_quarantine_is_removed_from_the_store() -> None:
    """Guards against a wrong quarantine that comes back with every restart."""
    store = MemoryStore()
    router = Router("r1", store)
    router.see_crashes("part", at=1.0)
    await router.publisher.publish_differences()
    router.view.guard.record_answer(("part",), now=4.0)
    await router.publisher.publish_differences()
    assert store.notices[-1] == QuarantineNotice("part", None)
    restarted = Router("r1", store)
    restarted.read_store()
    assert not restarted.refuses("part")


async def test_quarantine_that_a_restored_store_lost_is_published_again() -> None:
    """Guards against a quarantine that all routers know and that ends with the loss of all."""
    store = MemoryStore()
    router = Router("r1", store)
    router.see_crashes("bad", at=5.0)
    await router.publisher.publish_differences()
    store.notices.clear()
    router.read_store()
    await router.publisher.publish_differences()
    restarted = Router("r1", store)
    restarted.now = 60.0
    restarted.read_store()
    assert restarted.refuses("bad")


async def test_quarantine_lifted_after_the_copy_is_not_revived_by_it() -> None:
    """Guards against requests that are refused again because of a part that was answered since."""
    store = MemoryStore()
    router = Router("r1", store)
    router.see_crashes("bad", at=5.0)
    await router.publisher.publish_differences()
    copy = [*store.notices]
    router.now = 20.0
    router.view.guard.record_answer(["bad"], now=20.0)
    assert not router.refuses("bad")
    await router.publisher.publish_differences()
    store.notices = copy
    router.read_store()
    assert not router.refuses("bad")
    await router.publisher.publish_differences()
    assert store.notices[-1] == QuarantineNotice("bad", None)


def _restore(router: Router) -> None:
    """Let the router meet a restored store in another topic than the one of quarantines."""
    for era in (1, 2):
        router.view.history.meet(Topic.OPERATOR, era, now=router.now)


async def test_lost_quarantine_is_published_before_the_routers_topic_is_read_again() -> None:
    """Guards against a quarantine that is lost for good since all routers end within the interval
    of 4 s after the restore."""
    store = MemoryStore()
    names = ("r1", "r2", "r3", "r4", "r5", "r6")
    routers = [
        Router(name, store, others=tuple(other for other in names if other != name))
        for name in names
    ]
    for router in routers:
        router.see_crashes("bad", at=5.0)
        await router.publisher.publish_differences()
    for router in routers:
        router.read_store()
    store.notices.clear()
    for router in routers:
        router.now = 9.0
        _restore(router)
        await router.publisher.publish_differences()
    assert len(store.notices) == 1
    for step in range(8):
        for router in routers:
            router.now = 9.0 + 0.5 * step
            await router.publisher.publish_differences()
    assert len(store.notices) <= 4
    for router in routers:
        router.read_store()
        router.now = 30.0
        await router.publisher.publish_differences()
    assert len(store.notices) <= 4


async def test_quarantine_that_was_read_in_the_restored_store_is_not_published_again() -> None:
    """Guards against writes of every quarantine by several routers after each restore."""
    store = MemoryStore()
    router = Router("r1", store)
    router.see_crashes("bad", at=5.0)
    await router.publisher.publish_differences()
    _restore(router)
    router.view.history.meet(Topic.ROUTERS, 2, now=router.now)
    router.read_store()
    await router.publisher.publish_differences()
    assert len(store.notices) == 1
