"""Heartbeat of this router in the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import StoreHistory
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import RouterLocation


RESTORED_SHARE = 0.25
"""Share of the interval within which all routers announce themselves again after the store came
back from a copy: four times their usual rate of writes for that time."""


class Announcer:
    """Announces at regular intervals that this router is running, and soon after the store came
    back from a copy, in which nobody else writes that again.

    :param location: Where the router runs.
    :param interval_s: Returns the time between announcements.
    """

    name = "announce"

    def __init__(
        self,
        *,
        store: FleetStore,
        router: str,
        location: RouterLocation,
        interval_s: Callable[[], float],
        history: StoreHistory,
    ) -> None:
        self._store = store
        self._location = location
        self._router = router
        self._interval_s = interval_s
        self._history = history

    async def run(self) -> None:
        """Announce the router at each interval until cancelled."""
        while True:
            restores = self._history.restores
            await self._announce(self._location)
            interval_s = self._interval_s()
            if await self._history.wait_restored(after=restores, timeout_s=interval_s):
                await asyncio.sleep(random.uniform(0.0, RESTORED_SHARE * interval_s))

    async def stop(self) -> None:
        """Announce that the router is stopping."""
        await self._announce(None)

    async def _announce(self, location: RouterLocation | None) -> None:
        result = await self._store.announce(self._router, location)
        if isinstance(result, Failure):
            structlog.get_logger().warning(
                "announcement failed", running=location is not None, error=result.failure().message
            )
