"""Requests that routers hold for services whose servers have no free slot."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

from cornellead.gateway.gossip import MAX_HEARD_ROUTERS
from cornellead.gateway.gossip import Count
from cornellead.gateway.gossip import RouterName

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

MAX_HELD_COUNTS = 1 << 16
"""Services and urgencies in all reports, some 200 bytes each."""
QUEUE_REPORT_MAX_AGE_S = 1.0
"""Maximum age of a report that is used, so that what a lost router held is forgotten: with 70
routers, each hears of another one about once in two seconds at 0.2 s between reports."""
FINAL_REPORTS = 3
"""Reports that are sent after the last request has left the queue: datagrams may be lost."""


class QueueReport(NamedTuple):
    """Message between routers: what one router holds."""

    router: RouterName
    held: dict[int, dict[int, Count]]
    """Requests by urgency, by hash of the service name."""


class QueueReports:
    """Tells what this router holds, and sums up what others hold.

    :param router: Name of this router.
    """

    def __init__(self, *, router: str) -> None:
        self._router = router
        self._reports: dict[str, tuple[float, dict[int, dict[int, int]]]] = {}
        self._counts = 0
        """Sum of the sizes of the reports."""
        self._final_reports = 0
        self.read_held: Callable[[], Mapping[str, Mapping[int, int]]] = dict
        """Returns what this router holds by service and urgency."""

    def __len__(self) -> int:
        return len(self._reports)

    def make_report(self) -> QueueReport | None:
        """Return the next message to other routers; ``None`` if there is nothing to tell."""
        held = {hash_service(name): dict(counts) for name, counts in self.read_held().items()}
        if held:
            self._final_reports = FINAL_REPORTS
        elif self._final_reports:
            self._final_reports -= 1
        else:
            return None
        return QueueReport(self._router, held)

    def apply_report(self, report: QueueReport, *, now: float) -> None:
        """Apply what another router told.

        :param now: Seconds.
        """
        if report.router == self._router:
            return
        self._evict(now)
        _, before = self._reports.get(report.router, (now, {}))
        counts = self._counts + _count(report.held) - _count(before)
        if counts > MAX_HELD_COUNTS or (
            report.router not in self._reports and len(self._reports) >= MAX_HEARD_ROUTERS
        ):
            return
        self._counts = counts
        self._reports[report.router] = (now, report.held)

    def others(self, service: str, *, heard_share: float, now: float) -> dict[int, float]:
        """Return the estimated requests that other routers hold for a service, by urgency.

        :param heard_share: Fraction of the other routers whose reports arrive.
        """
        if not self._reports:
            return {}
        self._evict(now)
        key, counts = hash_service(service), Counter[int]()
        for _, held in self._reports.values():
            counts.update(held.get(key, {}))
        scale = 1.0 / min(1.0, max(heard_share, 0.01))
        return {urgency: count * scale for urgency, count in counts.items() if count}

    def _evict(self, now: float) -> None:
        expired = [
            name for name, (at, _) in self._reports.items() if now - at > QUEUE_REPORT_MAX_AGE_S
        ]
        for name in expired:
            _, held = self._reports.pop(name)
            self._counts -= _count(held)


def _count(held: Mapping[int, Mapping[int, int]]) -> int:
    return sum(1 + len(counts) for counts in held.values())


def hash_service(name: str) -> int:
    """Return the identifier of a service in reports."""
    return xxhash.xxh32_intdigest(name.encode())
