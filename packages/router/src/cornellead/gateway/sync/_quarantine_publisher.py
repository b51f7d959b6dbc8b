"""Keeps the quarantines in the store, for the case that all routers are lost."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

from cornellead_core.placement import rank_members
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.sync._router_sink import RouterSink
    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import FleetStore

CHECK_INTERVAL_S = 0.5
RANK_DELAY_S = 1.0
"""Time for which each further router in rank leaves a difference to those before it, which may have
been lost. Routers read what others published every 4 s, so a few may publish the same."""
MS_PER_S = 1000.0


class QuarantinePublisher:
    """Publishes the quarantines of this router's view that are not in the store, and removes those
    that have ended.

    All routers know of a quarantine. The first one in rendezvous order for the part publishes it at
    once, and the next one does if that has not happened. A store that came back from a copy counts
    as empty until it was read: all routers may end before that.

    :param sink: Tells which quarantines are in the store.
    :param wall_clock: Returns Unix seconds.
    """

    name = "publish-quarantines"

    def __init__(
        self,
        *,
        store: FleetStore,
        view: FleetView,
        sink: RouterSink,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._view = view
        self._sink = sink
        self._clock = clock
        self._wall_clock = wall_clock
        self._differs_since: dict[str, float] = {}
        """Time since when the store differs from this router's view, by part."""
        self._restores = 0
        """Restores of the store that were taken into account."""

    async def run(self) -> None:
        """Compare and publish until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.publish_differences()

    async def publish_differences(self) -> None:
        """Publish each difference whose turn it is for this router."""
        now = self._clock()
        self._forget_published_before_restore()
        held = {entry.part: entry for entry in self._view.guard.quarantined(now=now)}
        published = self._sink.published
        differing = {
            part
            for part in held.keys() | published.keys()
            if part not in held
            or part not in published
            or published[part].strikes < held[part].strikes
        }
        self._differs_since = {part: self._differs_since.get(part, now) for part in differing}
        for part in differing:
            if now - self._differs_since[part] < RANK_DELAY_S * self._rank(part, now):
                continue
            entry = held.get(part)
            mark = None
            if entry is not None:
                since_ms = int((self._wall_clock() - (now - entry.since)) * MS_PER_S)
                mark = QuarantineMark(entry.strikes, entry.crashes, since_ms)
            await self._publish(part, mark)

    def _forget_published_before_restore(self) -> None:
        history = self._view.history
        if history.restores == self._restores:
            return
        self._restores = history.restores
        if history.latest(Topic.ROUTERS) != history.era:
            self._sink.published.clear()
            self._differs_since.clear()

    async def _publish(self, part: str, mark: QuarantineMark | None) -> None:
        result = await self._store.publish_quarantine(part, mark)
        failed = isinstance(result, Failure)
        structlog.get_logger().info(
            "quarantine not published" if failed else "quarantine published",
            part=part,
            lifted=mark is None,
            error=result.failure().message if isinstance(result, Failure) else "",
        )
        if failed:
            return
        if mark is None:
            self._sink.published.pop(part, None)
        else:
            self._sink.published[part] = mark

    def _rank(self, part: str, now: float) -> int:
        return rank_members(part, self._view.routers(now=now)).index(self._view.router)
