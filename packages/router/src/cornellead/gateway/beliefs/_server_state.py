"""What this router believes about one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.beliefs._server_health import ServerHealth

if TYPE_CHECKING:
    from cornellead_core.routing import ReportedLoad
    from cornellead_core.routing import ServerEntry

LOAD_TRUST_S = 1.0
"""Age up to which the load in a response is used: requests last a few seconds at most."""


class ServerState:
    """Entry, coldness, health and load of one incarnation of a server."""

    def __init__(self, *, entry: ServerEntry, now: float) -> None:
        self.entry = entry
        self.entry_at = now
        """When the newest entry arrived, in seconds."""
        self.listed_at = now
        """When the first entry arrived, in seconds."""
        self.cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        self._forced_cold_until = 0.0
        self.missing_since: float | None = None
        """When the entry lapsed while the store was away, if it did."""
        self.health = ServerHealth(now=now)
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._opened_at_load = 0

    def update(self, entry: ServerEntry, *, now: float) -> None:
        """Take a newer entry of the same incarnation."""
        self.entry = entry
        self.entry_at = now
        self.missing_since = None
        if entry.cold_s > 0:
            self.cold_until = now + entry.cold_s
        else:
            self.cold_until = min(self.cold_until, self._forced_cold_until)

    def assume_cold(self, seconds: float, *, now: float) -> None:
        """Treat the server as cold for a while, whatever its entry says."""
        self._forced_cold_until = now + seconds
        self.cold_until = max(self.cold_until, self._forced_cold_until)

    def cold(self, *, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self.cold_until

    def report_load(self, load: ReportedLoad, *, now: float) -> None:
        """Take the load that came with a response."""
        self._load = load
        self._load_at = now
        self._opened_at_load = self.health.opened

    def reported_load(self, *, now: float) -> int | None:
        """Return the last reported load with what this router sent since, if it is fresh."""
        if self._load is None or now - self._load_at > LOAD_TRUST_S:
            return None
        sent_since = self.health.opened - self._opened_at_load
        return max(self.health.in_flight, self._load.running + self._load.waiting + sent_since)

    def load(self, *, routers: int, now: float) -> int:
        """Return the estimated requests at the server from all routers.

        Without a fresh report, the other routers are taken to send as much as this one.

        :param routers: Number of running routers.
        """
        reported = self.reported_load(now=now)
        return self.health.in_flight * max(1, routers) if reported is None else reported
