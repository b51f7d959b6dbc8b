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
    from collections.abc import Iterator

HORIZON_S = 3.0
"""Age at which a summary's load counts for nothing, until the time of a request is measured."""
EXPIRY_S = 15.0
"""Age at which a summary's capacity is dropped too.

Without it, half a fleet that is cut off would count as idle and the limits of the other half would
shrink to one request for as long as the partition lasts.
"""
ALONE_EXPIRY_S = 2.5
"""The same for a server that is summarised alone, which exchanges every 0.1 to 0.9 s."""
REORDER_S = 1.0
"""By this much a summary with a lower number must be newer, as after a change of the reporter."""
TAIL = 1e-3
"""Accepted probability that more requests finished since the summaries than the estimate allows."""
TAIL_DEVIATIONS = 3.09
"""The same in standard deviations of a normal distribution."""
LARGE_MEAN = 25.0
"""Expected number from which the Poisson distribution is close to the normal one."""
ALONE = 1 << 30
"""Group numbers from here on are those of single servers."""
TOTAL = -1
"""Group number of the summary of a whole data centre; it replaces those of its groups."""


class LoadEstimate(NamedTuple):
    """Conservative estimate of the mean load per unit of capacity."""

    rho: float
    stale_rho: float
    """Mean load at the time of the summaries, whatever their age."""
    capacity: float
    servers: int
    oldest_s: float


class _Dated(NamedTuple):
    summary: DcSummary
    taken_at: float


def server_group(server: str) -> int:
    """Return the group number of a server that is summarised alone.

    It depends on the name only, so that processes whose host lists differ agree on it.
    """
    return xxhash.xxh3_64_intdigest(server.encode()) >> 33 | ALONE


def most_finished(expected: float) -> float:
    """Return how many requests may have finished, short of a chance of `TAIL`.

    :param expected: Mean of the Poisson distribution.

    >>> most_finished(0.0), most_finished(0.02), most_finished(2.4)
    (0.0, 1.0, 8.0)
    """
    if expected > LARGE_MEAN:
        return expected + TAIL_DEVIATIONS * math.sqrt(expected) + 1
    term = math.exp(-expected)
    count, tail = 0, 1.0 - term
    while tail > TAIL:
        count += 1
        term *= expected / count
        tail -= term
    return float(count)


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
        """Keep the summary if it is newer than the known one."""
        taken_at = now - summary.age_ms / 1000
        known = self._summaries.get((summary.dc, summary.group))
        if known is None:
            self._summaries[summary.dc, summary.group] = _Dated(summary, taken_at)
            return
        if summary.seq == known.summary.seq:
            # Ages leave out the time on the wire. Without the minimum, a summary that goes round
            # between processes would grow younger with each hop and keep newer ones out.
            taken_at = min(taken_at, known.taken_at)
        elif taken_at <= known.taken_at or (
            summary.seq < known.summary.seq and taken_at - known.taken_at < REORDER_S
        ):
            return
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

    def replace_summary(self, summary: DcSummary, *, now: float) -> None:
        """Set a summary that this process computed, whatever the age of its parts."""
        taken_at = now - summary.age_ms / 1000
        self._summaries[summary.dc, summary.group] = _Dated(summary, taken_at)

    def report(self, server: str, *, now: float) -> LoadReport | None:
        """Return the last report of a server with its present age."""
        known = self._reports.get(server)
        if known is None:
            return None
        return known[0]._replace(age_ms=round((now - known[1]) * 1000))

    def summarize(
        self, *, dc: str, group: int, members: Iterable[str], seq: int, now: float, max_age_s: float
    ) -> DcSummary:
        """Sum the reports of a group of agents; the age is their mean, weighted by load."""
        parts: list[tuple[float, int, float, int]] = []
        for member in members:
            report = self.report(member, now=now)
            if report is not None and report.age_ms <= max_age_s * 1000:
                parts.append((report.age_ms, report.load, report.capacity, 1))
        return _sum_parts(dc, group, seq, parts)

    def summarize_total(self, *, dc: str, seq: int, now: float) -> DcSummary:
        """Sum the summaries of the groups of a data centre."""
        parts = [
            (1000 * (now - dated.taken_at), *dated.summary[4:7])
            for (name, group), dated in self._summaries.items()
            if name == dc and TOTAL < group < ALONE and now - dated.taken_at <= EXPIRY_S
        ]
        return _sum_parts(dc, TOTAL, seq, parts)

    def summaries(self, *, now: float, max_age_s: float) -> list[DcSummary]:
        """Return the summaries that the estimate uses, with their present ages."""
        return [
            dated.summary._replace(age_ms=max(0, math.ceil((now - dated.taken_at) * 1000)))
            for dated in self._in_use(now)
            if now - dated.taken_at <= max_age_s
        ]

    def estimate(
        self,
        *,
        now: float,
        excluded: Collection[str] = (),
        added: int = 0,
        at_least: int = 0,
        horizon_s: float = HORIZON_S,
    ) -> LoadEstimate:
        """Estimate the mean load, low when summaries are old.

        :param excluded: Data centres out of service.
        :param added: Requests to count besides, such as the one that is being admitted.
        :param at_least: Requests that are known to be in flight.
        :param horizon_s: Mean time of a request; the fastest decline is that of a fleet that gets
            no more of them.
        """
        load, capacity, servers, oldest, finished = 0, 0.0, 0, 0.0, 0.0
        for summary, taken_at in self._in_use(now):
            if summary.dc in excluded:
                continue
            age = now - taken_at
            weight = min(1.0, max(0.0, 1.0 - age / horizon_s))
            load += summary.load
            finished += summary.load * (1.0 - weight)
            capacity += summary.capacity
            servers += summary.servers
            if summary.servers:
                oldest = max(oldest, age)
        low = max(load - most_finished(finished), at_least) + added
        if not capacity:
            return LoadEstimate(0.0, 0.0, 0.0, 0, oldest)
        return LoadEstimate(low / capacity, load / capacity, capacity, servers, oldest)

    def _in_use(self, now: float) -> Iterator[_Dated]:
        for (dc, group), dated in self._summaries.items():
            if now - dated.taken_at > (EXPIRY_S if group < ALONE else ALONE_EXPIRY_S):
                continue
            total = self._summaries.get((dc, TOTAL)) if group != TOTAL else None
            if total is None or now - total.taken_at > EXPIRY_S:
                yield dated


def _sum_parts(
    dc: str, group: int, seq: int, parts: list[tuple[float, int, float, int]]
) -> DcSummary:
    load = sum(part[1] for part in parts)
    # The estimate falls in proportion to the age, so a mean weighted by load gives the same result
    # as the parts. One idle member with an old report then costs nothing.
    weighted = sum(part[0] * part[1] for part in parts)
    age_ms = weighted / load if load else max((part[0] for part in parts), default=0.0)
    capacity = sum(part[2] for part in parts)
    return DcSummary(dc, group, seq, math.ceil(age_ms), load, capacity, sum(p[3] for p in parts))
