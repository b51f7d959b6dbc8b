"""A router's view of one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from cornellead.gateway.view._prompt_work import PromptWork
from cornellead.gateway.view._server_health import ServerHealth
from cornellead.gateway.view._work_factor import WorkFactor

if TYPE_CHECKING:
    from cornellead.gateway.view._fleet_load import FleetLoad
    from cornellead.gateway.view._server_rate_limit import ServerRateLimit
    from cornellead_core.routing import ReportedLoad
    from cornellead_core.routing import ServerEntry

REPORTED_LOAD_FRESH_S = 0.1
"""Maximum age at which the load in a response is preferred over the reports of other routers, which
arrive every 0.2 s and are 0.1 s old on average."""
REPORTED_LOAD_MAX_AGE_S = 1.0
"""Maximum age of the load in a response: requests last a few seconds at most."""


class ServerState:
    """Entry, cold period, health and load of one incarnation of a server."""

    def __init__(self, *, entry: ServerEntry, now: float) -> None:
        self.entry = entry
        self.entry_received_at = now
        """When the latest entry arrived, in seconds."""
        self.listed_at = now
        """When the first entry arrived, in seconds."""
        self.cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        self.name_hash = xxhash.xxh32_intdigest(entry.server.encode())
        """Identifier of the server in load reports between routers."""
        self._forced_cold_until = 0.0
        self.missing_since: float | None = None
        """When the entry was removed while removals were deferred; ``None`` if it was not."""
        self.health = ServerHealth(now=now)
        self.rate_limit: ServerRateLimit | None = None
        """Limit that the server named last; ``None`` if it never named one."""
        self.leaving_since: float | None = None
        """When a response told that the server is leaving; ``None`` if none did."""
        self.broke_off_at = float("-inf")
        """When the server last broke off a response to this router, in seconds."""
        self.paused_until = 0.0
        """End of the time in which the server wants no requests of this router, in seconds."""
        self.work = WorkFactor()
        self.prompts = PromptWork()
        self._reported_load: ReportedLoad | None = None
        self._reported_at = 0.0
        self._in_flight_at_report = 0

    def update(self, entry: ServerEntry, *, now: float) -> None:
        """Apply a newer entry of the same incarnation."""
        known = self.entry.sequence
        self.entry = entry
        # A router of an earlier build relays entries without their counts.
        self.record_sequence(known)
        self.entry_received_at = now
        self.missing_since = None
        if entry.cold_s > 0:
            self.cold_until = now + entry.cold_s
        else:
            self.cold_until = min(self.cold_until, self._forced_cold_until)

    def record_sequence(self, sequence: int) -> None:
        """Record the count of a later write of the entry, which changed nothing else."""
        if sequence > self.entry.sequence:
            self.entry = self.entry._replace(sequence=sequence)

    def assume_cold(self, seconds: float, *, now: float) -> None:
        """Treat the server as cold for a time, even if its entry does not mark it as cold."""
        self._forced_cold_until = now + seconds
        self.cold_until = max(self.cold_until, self._forced_cold_until)

    def cold(self, *, now: float) -> bool:
        """Return whether the server is in its cold period."""
        return now < self.cold_until

    def record_reported_load(self, load: ReportedLoad, *, now: float) -> None:
        """Store the load that the server included in a response."""
        self._reported_load = load
        self._reported_at = now
        self._in_flight_at_report = self.health.in_flight
        if load.work_factor is not None:
            self.work.record(load.work_factor, now=now)

    def record_rate_limit(self, limit: ServerRateLimit) -> bool:
        """Store what a response told about the server's rate limit, unless later news is known.

        :returns: Whether the limit changed.
        """
        known = self.rate_limit
        if known is None and limit.per_s is None:
            return False
        if limit.at < (self.listed_at if known is None else known.at):
            return False
        self.rate_limit = limit
        return known is None or known.per_s != limit.per_s

    def record_leaving(self, *, now: float) -> bool:
        """Record that the server is leaving, which holds until this incarnation has ended.

        :returns: Whether that is news.
        """
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    @property
    def leaving(self) -> bool:
        """Whether the server's entry or one of its responses says that it is leaving."""
        return self.entry.draining or self.leaving_since is not None

    def record_pause(self, seconds: float, *, now: float) -> bool:
        """Record that the server wants no requests for a time.

        :returns: Whether that ends later than a pause that is known.
        """
        if now + seconds <= self.paused_until:
            return False
        self.paused_until = now + seconds
        return True

    def load(self, fleet: FleetLoad, *, routers: int, now: float) -> float:
        """Return the estimated in-flight requests of all routers at the server.

        The requests of a popular chat may arrive faster than routers exchange load reports, so the
        load in a response is preferred while it is fresh. Then follow the reports of other routers,
        and then an older load from a response. Without any of these, the other routers are assumed
        to have as many requests here as this one.

        :param routers: Number of running routers, this one included.
        """
        reported = self.reported_load(now=now)
        if reported is not None and now - self._reported_at <= REPORTED_LOAD_FRESH_S:
            return reported
        own = self.health.in_flight
        others = fleet.estimate_others(self.name_hash, routers=routers, now=now)
        if others is not None:
            return own + others
        return float(own * max(1, routers)) if reported is None else reported

    def reported_load(
        self, *, now: float, max_age_s: float = REPORTED_LOAD_MAX_AGE_S
    ) -> float | None:
        """Return the load in the latest response, adjusted by this router's changes since then.

        :returns: ``None`` if the latest load is older than ``max_age_s`` or there is none.
        """
        if self._reported_load is None or now - self._reported_at > max_age_s:
            return None
        own = self.health.in_flight
        change = own - self._in_flight_at_report
        return float(max(own, self._reported_load.running + self._reported_load.waiting + change))
