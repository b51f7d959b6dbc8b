"""Intervals between the calls of this router to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import StoreSettings

SERVERS_READ_INTERVAL_S = 0.5
"""Interval between reads of the server list: a leaving server has to be detected within 2 s."""
DEFERRED_READ_INTERVAL_S = 0.2
"""The same while removals are deferred after an outage: a server that has not come back has to be
dropped within a second after the time in which sound servers do."""
ROUTERS_INTERVAL_S = 4.0
"""Minimum interval between announcements of this router, and between reads of the router list."""
TOPIC_READ_SHARE = 0.3
"""Fraction of the store's read rate that all routers together use for one topic."""
ANNOUNCE_WRITE_SHARE = 0.1
"""Fraction of the store's write rate that the announcements of all routers together use."""


class StorePace:
    """Shares the call rates of the store among the running routers.

    :param settings: Returns the settings of the store.
    :param clock: Returns seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        settings: Callable[[], StoreSettings],
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._settings = settings
        self._clock = clock

    def read_interval_s(self, min_interval_s: float) -> float:
        """Return the time between reads of a topic."""
        reads_per_s = TOPIC_READ_SHARE * self._settings().reads_per_s
        return max(min_interval_s, self._routers / reads_per_s)

    def servers_interval_s(self) -> float:
        """Return the time between reads of the server list."""
        deferring = self._view.servers.deferring
        return self.read_interval_s(
            DEFERRED_READ_INTERVAL_S if deferring else SERVERS_READ_INTERVAL_S
        )

    def routers_interval_s(self) -> float:
        """Return the time between reads of the router list."""
        return self.read_interval_s(ROUTERS_INTERVAL_S)

    def announce_interval_s(self) -> float:
        """Return the time between announcements of this router."""
        writes_per_s = ANNOUNCE_WRITE_SHARE * self._settings().writes_per_s
        return max(ROUTERS_INTERVAL_S, self._routers / writes_per_s)

    @property
    def _routers(self) -> int:
        return len(self._view.routers(now=self._clock()))
