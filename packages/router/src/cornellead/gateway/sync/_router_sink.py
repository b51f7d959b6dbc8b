"""Applies router announcements to the router's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead_core.routing import RouterNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import NoticeBatch


class RouterSink:
    """Applies announcements of routers and logs changes of their number."""

    def __init__(self, *, view: FleetView, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._logged_routers: list[str] = []

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Apply the newest announcement of each router.

        Routers without an announcement in the snapshot remain until they expire.
        """
        self.apply_changes(batch)

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later announcements."""
        now = self._clock()
        for notice in batch.notices:
            if isinstance(notice, RouterNotice):
                self._view.apply_announcement(notice.router, notice.location, now=now)
        routers = self._view.routers(now=now)
        if routers != self._logged_routers:
            self._logged_routers = routers
            structlog.get_logger().info("routers changed", routers=len(routers))

    def mark_unavailable(self) -> None:
        """Keep all routers until their announcements expire."""
