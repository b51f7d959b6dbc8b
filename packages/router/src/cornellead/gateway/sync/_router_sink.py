"""Applies announcements and quarantines of routers to the router's view of the fleet."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.quarantine import QuarantinedPart
from cornellead_core.routing import STORE_SOURCE
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RouterNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import QuarantineMark

MS_PER_S = 1000.0


class RouterSink:
    """Applies announcements of routers and the quarantines that they published, and logs changes
    of the number of routers.

    :param wall_clock: Returns Unix seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._view = view
        self._clock = clock
        self._wall_clock = wall_clock
        self.published: dict[str, QuarantineMark] = {}
        """Quarantines in the store by part, as last read."""
        self._logged_routers: list[str] = []

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Apply the newest announcement of each router.

        Routers without an announcement in the snapshot remain until they expire.
        """
        self.published.clear()
        self.apply_changes(batch)

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later announcements."""
        now = self._clock()
        for notice in batch.notices:
            if isinstance(notice, RouterNotice):
                self._view.apply_announcement(notice.router, notice.location, now=now)
            elif isinstance(notice, QuarantineNotice):
                self._apply_quarantine(notice, now=now)
        routers = self._view.routers(now=now)
        if routers != self._logged_routers:
            self._logged_routers = routers
            structlog.get_logger().info("routers changed", routers=len(routers))

    def mark_unavailable(self) -> None:
        """Keep all routers until their announcements expire."""

    def _apply_quarantine(self, notice: QuarantineNotice, *, now: float) -> None:
        mark = notice.mark
        if mark is None:
            self.published.pop(notice.part, None)
            return
        self.published[notice.part] = mark
        age_s = max(0.0, self._wall_clock() - mark.since_ms / MS_PER_S)
        self._view.guard.restore(
            QuarantinedPart(notice.part, mark.strikes, mark.crashes, now - age_s),
            source=STORE_SOURCE,
        )
