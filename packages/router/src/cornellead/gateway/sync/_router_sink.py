"""Keeps track of the running routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead_core.routing import RouterNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import FleetView
    from cornellead_core.routing import NoticeBatch


class RouterSink:
    """Takes announcements of routers."""

    def __init__(self, *, view: FleetView, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._logged: list[str] = []

    def take_all(self, batch: NoticeBatch) -> None:
        """Take the newest announcement of each router."""
        self.take(batch)

    def take(self, batch: NoticeBatch) -> None:
        """Take later announcements."""
        now = self._clock()
        for notice in batch.notices:
            if isinstance(notice, RouterNotice):
                self._view.see_router(notice.router, notice.place, now=now)
        routers = self._view.routers(now=now)
        if routers != self._logged:
            self._logged = routers
            structlog.get_logger().info("routers changed", routers=len(routers))

    def lose(self) -> None:
        """Keep what is known until it is too old."""
