"""In-flight requests of other routers, as reported by them."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.gossip import MAX_HEARD_ROUTERS
from cornellead.gateway.gossip import Count
from cornellead.gateway.gossip import RouterName

REPORT_MAX_AGE_S = 1.0
"""Maximum age of a report that is used: requests last a few seconds at most."""
MAX_COUNTS = 1 << 18
"""Counts in all reports, some 100 bytes each: `MAX_HEARD_ROUTERS` before 1,000 servers."""


class RouterLoad(NamedTuple):
    """Load report: the in-flight requests of one router at each server."""

    router: RouterName
    counts: dict[int, Count]
    """In-flight requests by hash of the server name; servers without requests are omitted."""


class FleetLoad:
    """Sums the load reports of other routers.

    A router without a recent report is assumed to have the mean load of the routers with one.

    >>> load = FleetLoad()
    >>> load.record_report(RouterLoad("r2", {7: 3}), now=0.0)
    >>> load.estimate_others(7, routers=2, now=0.5), load.estimate_others(7, routers=3, now=0.5)
    (3.0, 6.0)
    >>> load.estimate_others(7, routers=2, now=2.0) is None
    True
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[int, int]]] = {}
        self._counts = 0
        """Sum of the sizes of the reports."""
        self.interval_s = 0.0
        """Expected time between two reports of the same router to this one: all routers send
        reports as often as this one, to as many recipients."""
        self._sums: tuple[float, int, dict[int, int]] | None = None
        """Time, number and sums of the recent reports: one placement asks for many servers."""

    def __len__(self) -> int:
        return len(self._reports)

    def record_report(self, load: RouterLoad, *, now: float) -> None:
        """Store the report of a router in place of its previous one, unless there is no room.

        :param now: Seconds.
        """
        _, before = self._reports.get(load.router, (now, {}))
        counts = self._counts + len(load.counts) - len(before)
        if counts > MAX_COUNTS or (
            load.router not in self._reports and len(self._reports) >= MAX_HEARD_ROUTERS
        ):
            return
        self._counts = counts
        self._reports[load.router] = (now, load.counts)
        self._sums = None

    def estimate_others(self, server_hash: int, *, routers: int, now: float) -> float | None:
        """Return the estimated in-flight requests of all other routers at a server.

        :param routers: Number of running routers, this one included.
        :returns: ``None`` if no other router sent a report recently.
        """
        if self._sums is None or self._sums[0] != now:
            self._sums = self._sum_recent(now)
        _, recent, sums = self._sums
        if not recent:
            return None
        return sums.get(server_hash, 0) * max(1.0, (routers - 1) / recent)

    def _sum_recent(self, now: float) -> tuple[float, int, dict[int, int]]:
        recent = [counts for at, counts in self._reports.values() if now - at <= REPORT_MAX_AGE_S]
        sums: dict[int, int] = {}
        for counts in recent:
            for server, count in counts.items():
                sums[server] = sums.get(server, 0) + count
        return now, len(recent), sums

    def evict_expired(self, *, now: float) -> None:
        """Remove expired reports."""
        expired = [name for name, (at, _) in self._reports.items() if now - at > REPORT_MAX_AGE_S]
        for name in expired:
            _, counts = self._reports.pop(name)
            self._counts -= len(counts)
