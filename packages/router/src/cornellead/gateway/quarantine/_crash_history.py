"""Reports of crashes and answers, by the parts of the prompts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead.gateway.quarantine._crash_report import CrashReport

MAX_REPORTS = 2048
"""Capacity in reports, the oldest of which is evicted: a few crashes of the largest servers."""
REPORT_MAX_AGE_S = 600.0
MAX_ANSWERED_PARTS = 20_000
"""Capacity in answered parts: more than a router serves within minutes."""
MAX_PARTS = 12
"""Maximum number of parts of a report."""
NEVER = float("-inf")


class CrashHistory:
    """Keeps the reports that no later answer has refuted.

    >>> from cornellead.gateway.quarantine import CrashReport
    >>> history = CrashHistory()
    >>> history.add(CrashReport(1, 7, ("a", "b"), 5.0))
    True
    >>> history.record_answer("a", at=6.0)
    True
    >>> [part for part in ("a", "b") if history.evidence(part)]
    ['b']
    """

    def __init__(self) -> None:
        self._reports: OrderedDict[int, CrashReport] = OrderedDict()
        self._by_part: dict[str, list[CrashReport]] = {}
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def get(self, request: int) -> CrashReport | None:
        """Return the report on a request."""
        return self._reports.get(request)

    def evidence(self, part: str) -> Sequence[CrashReport]:
        """Return the reports on requests with the part since its latest answer."""
        return self._by_part.get(part, ())

    def answered_at(self, part: str) -> float:
        """Return the time of the latest answer to a request with the part, or minus infinity."""
        return self._answered_at.get(part, NEVER)

    def was_answered(self, part: str) -> bool:
        """Return whether an answer to a request with the part is known."""
        return part in self._answered_at

    def add(self, report: CrashReport) -> bool:
        """Add a report; ``False`` if it is known or names no part."""
        if report.request in self._reports or not report.parts:
            return False
        report = report._replace(parts=self._limit_parts(report.parts))
        self._reports[report.request] = report
        for part in report.parts:
            if report.at > self.answered_at(part):
                self._by_part.setdefault(part, []).append(report)
        if len(self._reports) > MAX_REPORTS:
            self._remove(next(iter(self._reports)))
        return True

    def record_answer(self, part: str, *, at: float) -> bool:
        """Record an answer to a request with the part.

        :returns: Whether it refuted reports, so that other routers need to know of it.
        """
        if at <= self.answered_at(part):
            return False
        self._answered_at[part] = at
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)
        reports = self._by_part.pop(part, None)
        if reports is None:
            return False
        later = [report for report in reports if report.at > at]
        if later:
            self._by_part[part] = later
        return len(later) < len(reports)

    def remove_expired(self, *, now: float) -> None:
        """Remove old reports."""
        while self._reports:
            oldest = next(iter(self._reports.values()))
            if now - oldest.at <= REPORT_MAX_AGE_S:
                return
            self._remove(oldest.request)

    def _limit_parts(self, parts: tuple[str, ...]) -> tuple[str, ...]:
        if len(parts) <= MAX_PARTS:
            return parts
        unanswered = [part for part in parts if not self.was_answered(part)]
        return tuple((unanswered or list(parts))[-MAX_PARTS:])

    def _remove(self, request: int) -> None:
        report = self._reports.pop(request)
        for part in report.parts:
            reports = self._by_part.get(part, [])
            if report in reports:
                reports.remove(report)
            if not reports:
                self._by_part.pop(part, None)


def union_of_parts(reports: Iterable[CrashReport]) -> set[str]:
    """Return the parts that occur in the reports."""
    return {part for report in reports for part in report.parts}
