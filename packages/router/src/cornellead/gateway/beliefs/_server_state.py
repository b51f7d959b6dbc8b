"""What this router believes about one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from cornellead.gateway.beliefs._server_health import ServerHealth

if TYPE_CHECKING:
    from cornellead.gateway.beliefs._fleet_load import FleetLoad
    from cornellead_core.routing import ReportedLoad
    from cornellead_core.routing import ServerEntry

FRESH_LOAD_S = 0.1
"""Age up to which the load in a response is better than the reports of other routers, which arrive
every 0.2 s and are half as old on average."""
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
        self.name_hash = xxhash.xxh32_intdigest(entry.server.encode())
        """Identifies the server in reports of routers."""
        self._forced_cold_until = 0.0
        self.missing_since: float | None = None
        """When the entry lapsed while the store was away, if it did."""
        self.health = ServerHealth(now=now)
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._own_at_load = 0

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
        self._own_at_load = self.health.in_flight

    def load(self, fleet: FleetLoad, *, routers: int, now: float) -> float:
        """Return the estimated requests at the server from all routers.

        Load: a popular chat whose requests come faster than routers report to each other. The load
        that the server reported comes first while it is fresh, then reports of other routers, then
        an older load. Without any, the other routers are taken to send as much as this one.

        :param routers: Number of running routers.
        """
        answered = self.answered_load(now=now)
        if answered is not None and now - self._load_at <= FRESH_LOAD_S:
            return answered
        own = self.health.in_flight
        others = fleet.others(self.name_hash, routers=routers, now=now)
        if others is not None:
            return own + others
        return float(own * max(1, routers)) if answered is None else answered

    def answered_load(self, *, now: float) -> float | None:
        """Return the load that the server reported in a response, with this router's changes since.

        :returns: ``None`` without a response of the last second.
        """
        if self._load is None or now - self._load_at > LOAD_TRUST_S:
            return None
        own = self.health.in_flight
        change = own - self._own_at_load
        return float(max(own, self._load.running + self._load.waiting + change))
