"""What one process knows of the load of the fleet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

from cornellead_core.load._digest import DcSummary
from cornellead_core.load._digest import Digest
from cornellead_core.load._digest import LoadReport

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

HORIZON_S = 3.0
"""Age at which a summary's load counts for nothing in the estimate."""
EXPIRY_S = 5.0
"""Age at which a summary's capacity is dropped too.

Without it, half a fleet that is cut off would count as idle and the limits of the other half would
shrink to one request for as long as the partition lasts.
"""
DEVIATIONS = 3.0
"""Standard deviations of the number of requests that may have finished since the summaries."""


def server_group(server: str) -> int:
    """Return the group number of a server that is summarised alone.

    It depends on the name only, so that processes whose host lists differ agree on it.
    """
    return xxhash.xxh3_64_intdigest(server.encode()) >> 33 | 1 << 30


class LoadEstimate(NamedTuple):
    """Conservative estimate of the mean load per unit of capacity."""

    rho: float
    capacity: float
    servers: int
    oldest_s: float


class _Dated(NamedTuple):
    summary: DcSummary
    taken_at: float


class LoadTable:
    """Merges reports and summaries, keeping the entry with the lowest age.

    All times are monotonic seconds of the local host; messages carry ages instead of timestamps.
    """

    def __init__(self) -> None:
        self._summaries: dict[tuple[str, int], _Dated] = {}
        self._reports: dict[str, tuple[LoadReport, float]] = {}

    def merge(self, digest: Digest, *, now: float) -> None:
        """Merge a digest received from a peer."""
        for summary in digest.summaries:
            self.merge_summary(summary, now=now)
        if digest.own is not None:
            self.merge_report(digest.own, now=now)

    def merge_summary(self, summary: DcSummary, *, now: float) -> None:
        """Keep the summary if it was taken later than the known one."""
        taken_at = now - summary.age_ms / 1000
        known = self._summaries.get((summary.dc, summary.group))
        if known is None or taken_at > known.taken_at:
            self._summaries[summary.dc, summary.group] = _Dated(summary, taken_at)

    def merge_report(self, report: LoadReport, *, now: float) -> None:
        """Keep the report if it is from a newer process or taken later."""
        taken_at = now - report.age_ms / 1000
        known = self._reports.get(report.server)
        if known is not None:
            order = (report.incarnation, report.seq)
            if order <= (known[0].incarnation, known[0].seq):
                return
        self._reports[report.server] = (report, taken_at)

    def report(self, server: str, *, now: float) -> LoadReport | None:
        """Return the last report of a server with its present age."""
        known = self._reports.get(server)
        if known is None:
            return None
        return known[0]._replace(age_ms=round((now - known[1]) * 1000))

    def summarize(
        self, *, dc: str, group: int, members: Iterable[str], seq: int, now: float, max_age_s: float
    ) -> DcSummary:
        """Sum the reports of a group of agents; the age is that of the oldest report used."""
        load, capacity, servers, age_ms = 0, 0.0, 0, 0
        for member in members:
            report = self.report(member, now=now)
            if report is None or report.age_ms > max_age_s * 1000:
                continue
            load += report.load
            capacity += report.capacity
            servers += 1
            age_ms = max(age_ms, report.age_ms)
        return DcSummary(dc, group, seq, age_ms, load, capacity, servers)

    def summaries(self, *, now: float, max_age_s: float) -> list[DcSummary]:
        """Return the known summaries with their present ages."""
        return [
            dated.summary._replace(age_ms=max(0, round((now - dated.taken_at) * 1000)))
            for dated in self._summaries.values()
            if now - dated.taken_at <= max_age_s
        ]

    def estimate(
        self, *, now: float, excluded: Collection[str] = (), added: int = 0
    ) -> LoadEstimate:
        """Estimate the mean load, low when summaries are old.

        :param excluded: Data centres out of service.
        :param added: Requests to count besides, such as the one that is being admitted.
        """
        load, capacity, servers, oldest, finished = 0.0, 0.0, 0, 0.0, 0.0
        for (dc, _), dated in self._summaries.items():
            age = now - dated.taken_at
            if dc in excluded or age > EXPIRY_S:
                continue
            weight = max(0.0, 1.0 - age / HORIZON_S)
            load += dated.summary.load * weight
            finished += dated.summary.load * (1.0 - weight)
            capacity += dated.summary.capacity
            servers += dated.summary.servers
            if dated.summary.servers:
                oldest = max(oldest, age)
        load = max(0.0, load - DEVIATIONS * math.sqrt(finished)) + added
        rho = load / capacity if capacity else 0.0
        return LoadEstimate(rho, capacity, servers, oldest)
