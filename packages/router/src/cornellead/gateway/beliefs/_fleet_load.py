"""Requests that other routers have at the servers."""

from __future__ import annotations

from typing import NamedTuple

REPORT_TRUST_S = 1.0
"""Age up to which a report of another router is used: requests last a few seconds at most."""


class RouterLoad(NamedTuple):
    """Requests of one router at the servers."""

    router: str
    counts: dict[int, int]
    """Requests by the hash of the server's name; servers without requests are left out."""


class FleetLoad:
    """Sums the reports of other routers; those that are not heard count as the mean of the rest.

    >>> load = FleetLoad()
    >>> load.take(RouterLoad("r2", {7: 3}), now=0.0)
    >>> load.others(7, routers=2, now=0.5), load.others(7, routers=3, now=0.5)
    (3.0, 6.0)
    >>> load.others(7, routers=2, now=2.0) is None
    True
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[int, int]]] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def take(self, load: RouterLoad, *, now: float) -> None:
        """Take a report.

        :param now: Seconds.
        """
        self._reports[load.router] = (now, load.counts)

    def others(self, server_hash: int, *, routers: int, now: float) -> float | None:
        """Return the estimated requests of all other routers at a server.

        :param routers: Number of running routers, this one included.
        :returns: ``None`` when no other router was heard lately.
        """
        fresh = [counts for at, counts in self._reports.values() if now - at <= REPORT_TRUST_S]
        if not fresh:
            return None
        heard = sum(counts.get(server_hash, 0) for counts in fresh)
        return heard * max(1.0, (routers - 1) / len(fresh))

    def tidy(self, *, now: float) -> None:
        """Drop reports that are too old."""
        old = [name for name, (at, _) in self._reports.items() if now - at > REPORT_TRUST_S]
        for name in old:
            del self._reports[name]
