"""Load reports and summaries received by one process, and the mean load estimated from them."""

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
"""Age at which a summary's load is assumed to be zero, until request durations are measured."""
EXPIRY_S = 15.0
"""Age at which a summary is discarded, including its capacity.

Without expiry, a partitioned half of the fleet would count as idle capacity, and the limits of the
other half would drop to one request for as long as the partition lasts.
"""
SINGLE_SERVER_EXPIRY_S = 2.5
"""Expiry of single-server summaries, which are exchanged every 0.1 to 0.9 s."""
REORDER_MARGIN_S = 1.0
"""A summary with a lower sequence number is accepted only if it is newer by at least this much.

A new reporter may start at a lower number than its predecessor.
"""
TAIL_PROBABILITY = 1e-3
"""Accepted probability that more requests finished since the summaries than the estimate allows."""
TAIL_STD_DEVIATIONS = 3.09
"""Standard deviations of the normal distribution that correspond to `TAIL_PROBABILITY`."""
NORMAL_APPROXIMATION_MIN_MEAN = 25.0
"""Mean above which the Poisson distribution is approximated by the normal distribution."""
GROUP_DECLINE_FACTOR = 0.3
"""Fraction of the fastest possible decline in load that is assumed for groups of servers.

Group summaries are 1 to 2 s old, because the byte budget limits how often they are sent. With the
full decline, the estimate would be half of the mean, and nearly all requests would be refused by
their first-choice server and queue.
"""
FIRST_SINGLE_SERVER_GROUP = 1 << 30
"""Lowest group number of single-server summaries."""
TOTAL = -1
"""Group number of the summary of a whole data centre; it replaces the summaries of its groups."""


class LoadEstimate(NamedTuple):
    """Estimated mean load per unit of capacity."""

    rho: float
    """Conservative estimate, which decreases as the summaries age."""
    stale_rho: float
    """Mean load at the time of the summaries, without a correction for their age."""
    capacity: float
    servers: int
    oldest_s: float
    """Age of the oldest summary in use."""


class _TimedSummary(NamedTuple):
    summary: DcSummary
    measured_at: float


def single_server_group(server: str) -> int:
    """Return the group number of a single-server summary.

    The number is a hash of the name, so processes with different host lists agree on it.
    """
    return xxhash.xxh3_64_intdigest(server.encode()) >> 33 | FIRST_SINGLE_SERVER_GROUP


def max_finished(expected: float) -> float:
    """Return an upper bound on the number of requests that finished since the summaries.

    The bound is exceeded with a probability of at most `TAIL_PROBABILITY`.

    :param expected: Expected number of finished requests, the mean of a Poisson distribution.

    >>> max_finished(0.0), max_finished(0.02), max_finished(2.4)
    (0.0, 1.0, 8.0)
    """
    if expected > NORMAL_APPROXIMATION_MIN_MEAN:
        return expected + TAIL_STD_DEVIATIONS * math.sqrt(expected) + 1
    term = math.exp(-expected)
    count, tail = 0, 1.0 - term
    while tail > TAIL_PROBABILITY:
        count += 1
        term *= expected / count
        tail -= term
    return float(count)


class LoadTable:
    """Latest load report of each server and latest summary of each group.

    All times are monotonic seconds of the local host. Messages carry ages instead of timestamps,
    so hosts do not need synchronized clocks.
    """

    def __init__(self) -> None:
        self._summaries: dict[tuple[str, int], _TimedSummary] = {}
        self._reports: dict[str, tuple[LoadReport, float]] = {}

    def merge(self, digest: Digest, *, now: float) -> None:
        """Merge a digest received from a peer."""
        for summary in digest.summaries:
            self.merge_summary(summary, now=now)
        if digest.own is not None:
            self.merge_report(digest.own, now=now)

    def merge_summary(self, summary: DcSummary, *, now: float) -> None:
        """Store the summary if it is newer than the stored one."""
        measured_at = now - summary.age_ms / 1000
        current = self._summaries.get((summary.dc, summary.group))
        if current is None:
            self._summaries[summary.dc, summary.group] = _TimedSummary(summary, measured_at)
            return
        if summary.seq == current.summary.seq:
            # Ages exclude network latency. Without the minimum, a summary forwarded in a cycle
            # would appear newer with each hop and keep out summaries that are really newer.
            measured_at = min(measured_at, current.measured_at)
        elif measured_at <= current.measured_at or (
            summary.seq < current.summary.seq
            and measured_at - current.measured_at < REORDER_MARGIN_S
        ):
            return
        self._summaries[summary.dc, summary.group] = _TimedSummary(summary, measured_at)

    def merge_report(self, report: LoadReport, *, now: float) -> None:
        """Store the report if it is from a newer incarnation or has a higher sequence number."""
        measured_at = now - report.age_ms / 1000
        current = self._reports.get(report.server)
        if current is not None:
            order = (report.incarnation, report.seq)
            if order <= (current[0].incarnation, current[0].seq):
                return
        self._reports[report.server] = (report, measured_at)

    def replace_summary(self, summary: DcSummary, *, now: float) -> None:
        """Store a summary computed by this process, even if it is older than the stored one."""
        measured_at = now - summary.age_ms / 1000
        self._summaries[summary.dc, summary.group] = _TimedSummary(summary, measured_at)

    def report(self, server: str, *, now: float) -> LoadReport | None:
        """Return the latest report of a server with its age updated to now."""
        current = self._reports.get(server)
        if current is None:
            return None
        return current[0]._replace(age_ms=round((now - current[1]) * 1000))

    def summarize(
        self, *, dc: str, group: int, members: Iterable[str], seq: int, now: float, max_age_s: float
    ) -> DcSummary:
        """Aggregate the reports of a group of agents; the age is their mean, weighted by load."""
        parts: list[tuple[float, int, float, int]] = []
        for member in members:
            report = self.report(member, now=now)
            if report is not None and report.age_ms <= max_age_s * 1000:
                parts.append((report.age_ms, report.load, report.capacity, 1))
        return _aggregate(dc, group, seq, parts)

    def summarize_total(self, *, dc: str, seq: int, now: float) -> DcSummary:
        """Aggregate the group summaries of a data centre."""
        # Fields 4 to 6 of a summary are load, capacity and servers.
        parts = [
            (1000 * (now - entry.measured_at), *entry.summary[4:7])
            for (name, group), entry in self._summaries.items()
            if name == dc
            and TOTAL < group < FIRST_SINGLE_SERVER_GROUP
            and now - entry.measured_at <= EXPIRY_S
        ]
        return _aggregate(dc, TOTAL, seq, parts)

    def summaries(self, *, now: float, max_age_s: float) -> list[DcSummary]:
        """Return the summaries that the estimate uses, with their ages updated to now."""
        return [
            entry.summary._replace(age_ms=max(0, math.ceil((now - entry.measured_at) * 1000)))
            for entry in self._active_entries(now)
            if now - entry.measured_at <= max_age_s
        ]

    def estimate(
        self,
        *,
        now: float,
        excluded: Collection[str] = (),
        added: int = 0,
        known_in_flight: int = 0,
        horizon_s: float = HORIZON_S,
    ) -> LoadEstimate:
        """Estimate the mean load; the estimate is lower the older the summaries are.

        :param excluded: Data centres out of service.
        :param added: Requests to count in addition, such as the one being admitted.
        :param known_in_flight: Requests known to be in flight, a lower bound on the load.
        :param horizon_s: Mean request duration. Load can decline no faster than in a fleet that
            receives no new requests, which is over this time.
        """
        load, capacity, servers, oldest, finished = 0, 0.0, 0, 0.0, 0.0
        for summary, measured_at in self._active_entries(now):
            if summary.dc in excluded:
                continue
            age = now - measured_at
            decline = age / horizon_s
            if summary.group < FIRST_SINGLE_SERVER_GROUP:
                decline *= GROUP_DECLINE_FACTOR
            weight = min(1.0, max(0.0, 1.0 - decline))
            load += summary.load
            finished += summary.load * (1.0 - weight)
            capacity += summary.capacity
            servers += summary.servers
            if summary.servers:
                oldest = max(oldest, age)
        min_load = max(load - max_finished(finished), known_in_flight) + added
        if not capacity:
            return LoadEstimate(0.0, 0.0, 0.0, 0, oldest)
        return LoadEstimate(min_load / capacity, load / capacity, capacity, servers, oldest)

    def _active_entries(self, now: float) -> Iterator[_TimedSummary]:
        for (dc, group), entry in self._summaries.items():
            if now - entry.measured_at > (
                EXPIRY_S if group < FIRST_SINGLE_SERVER_GROUP else SINGLE_SERVER_EXPIRY_S
            ):
                continue
            total = self._summaries.get((dc, TOTAL)) if group != TOTAL else None
            if total is None or now - total.measured_at > EXPIRY_S:
                yield entry


def _aggregate(
    dc: str, group: int, seq: int, parts: list[tuple[float, int, float, int]]
) -> DcSummary:
    """Add up reports or summaries.

    :param parts: Age in milliseconds, load, capacity and number of servers of each.
    """
    load = sum(part[1] for part in parts)
    # The estimate decreases linearly with age, so the load-weighted mean age gives the same result
    # as the individual ages, and an idle member with an old report has no effect.
    weighted_age_ms = sum(part[0] * part[1] for part in parts)
    age_ms = weighted_age_ms / load if load else max((part[0] for part in parts), default=0.0)
    capacity = sum(part[2] for part in parts)
    return DcSummary(dc, group, seq, math.ceil(age_ms), load, capacity, sum(p[3] for p in parts))
