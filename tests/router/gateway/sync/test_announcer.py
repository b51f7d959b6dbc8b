"""Tests of when a router announces itself in the store."""

from __future__ import annotations

import asyncio
import time

from returns.result import Result
from returns.result import Success
from tests.router.gateway.sync.test_quarantine_publisher import MemoryStore

from cornellead.gateway.sync import Announcer
from cornellead.gateway.view import StoreHistory
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic


class AnnouncementStore(MemoryStore):
    """Records the times of announcements."""

    def __init__(self) -> None:
        super().__init__()
        self.announced_at: list[float] = []
        self.delay_s = 0.0

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        self.announced_at.append(time.monotonic())
        await asyncio.sleep(self.delay_s)
        return Success(UNKNOWN_ERA)


async def test_router_announces_itself_again_soon_after_a_restore() -> None:
    """Guards against routers that are missing in the store for a whole interval, since the copy is
    older than their announcement and nobody else writes it again."""
    store, history = AnnouncementStore(), StoreHistory()
    announcer = Announcer(
        store=store,
        router="r1",
        location=RouterLocation("10.0.0.1:1", "dc-a"),
        interval_s=lambda: 0.8,
        history=history,
    )
    history.meet(Topic.OPERATOR, 1, now=0.0)
    task = asyncio.create_task(announcer.run())
    await asyncio.sleep(0.05)
    restored_at = time.monotonic()
    history.meet(Topic.OPERATOR, 2, now=1.0)
    history.meet(Topic.SERVERS, 2, now=1.1)
    await asyncio.sleep(0.4)
    task.cancel()
    first, again = store.announced_at
    assert first < restored_at and again - restored_at < 0.3


async def test_restore_during_an_announcement_is_followed_by_another_one() -> None:
    """Guards against a router that is missing in the store for a whole interval, since its
    announcement was on the way to the store that was lost."""
    store, history = AnnouncementStore(), StoreHistory()
    store.delay_s = 0.05
    announcer = Announcer(
        store=store,
        router="r1",
        location=RouterLocation("10.0.0.1:1", "dc-a"),
        interval_s=lambda: 0.8,
        history=history,
    )
    history.meet(Topic.OPERATOR, 1, now=0.0)
    task = asyncio.create_task(announcer.run())
    await asyncio.sleep(0.02)
    history.meet(Topic.OPERATOR, 2, now=1.0)
    await asyncio.sleep(0.4)
    task.cancel()
    assert len(store.announced_at) == 2


async def test_announcer_that_is_cancelled_as_the_store_comes_back_ends() -> None:
    """Guards against a stop that waits for a task whose cancellation was swallowed."""
    store, history = AnnouncementStore(), StoreHistory()
    history.meet(Topic.OPERATOR, 1, now=0.0)
    announcer = Announcer(
        store=store,
        router="r1",
        location=RouterLocation("10.0.0.1:1", "dc-a"),
        interval_s=lambda: 0.2,
        history=history,
    )
    task = asyncio.create_task(announcer.run())
    await asyncio.sleep(0.02)
    history.meet(Topic.OPERATOR, 2, now=1.0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task], timeout=0.5)
    ended = task.cancelled()
    task.cancel()
    assert ended
