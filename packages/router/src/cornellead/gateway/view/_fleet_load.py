"""In-flight requests of other routers, as reported by them."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.gossip import Count

REPORT_MAX_AGE_S = 1.0
"""Maximum age of a report that is used: requests last a few seconds at most."""


class RouterLoad(NamedTuple):
    """Load report: the in-flight requests of one router at each server."""

    router: str
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
        self.interval_s = 0.0
        """Expected time between two reports of the same router to this one: all routers send
        reports as often as this one, to as many recipients."""
        self._sums: tuple[float, int, dict[int, int]] | None = None
        """Time, number and sums of the recent reports: one placement asks for many servers."""

    def __len__(self) -> int:
        return len(self._reports)

    def record_report(self, load: RouterLoad, *, now: float) -> None:
        """Store the report of a router in place of its previous one.

        :param now: Seconds.
        """
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
            del self._reports[name]
