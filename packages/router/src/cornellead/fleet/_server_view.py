"""Load and availability of servers as seen by one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.load import BATCH_SHARE
from cornellead_core.load import Digest
from cornellead_core.load import LoadTable
from cornellead_core.load import ServerState
from cornellead_core.outcomes import RefusalReason
from cornellead_core.retries import Backoff

if TYPE_CHECKING:
    from cornellead_core.load import LoadReport

STATE_TTL_S = 2.0
"""Time for which the router skips a server because of its reported state or a refusal."""
FULL_TTL_S = 0.2
"""Time for which a server counts as full after a report or a refusal. The load changes with every
request that ends; a longer time places more chats on servers without their cache."""
SUMMARY_MAX_AGE_S = 3.0
"""Age up to which load summaries are forwarded to agents."""

_UNAVAILABLE_REASONS = {
    RefusalReason.DRAINING,
    RefusalReason.OUT_OF_SERVICE,
    RefusalReason.SERVER_DOWN,
    RefusalReason.UNAUTHORIZED,
}
_FULL_REASONS = {RefusalReason.OVER_BOUND, RefusalReason.COLD}


class ServerView:
    """Records connection failures, refusals and load reports of servers.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._load_table = LoadTable()
        self._backoffs: dict[str, Backoff] = {}
        self._unavailable_until: dict[str, float] = {}
        self._full_until: dict[tuple[str, bool], float] = {}
        self._load_corrections: dict[str, int] = {}
        """Requests that ended since the last load report, as a negative number."""

    def merge(self, digest: Digest, *, now: float) -> None:
        """Merge the load reports and summaries of a response."""
        self._load_table.merge(digest, now=now)
        if digest.own is not None:
            self._load_corrections.pop(digest.own.server, None)
            if digest.own.load < digest.own.limit:
                self._clear_full(digest.own.server)

    def digest(self, *, now: float) -> Digest:
        """Return the load summaries to send along with a request."""
        return Digest(self._load_table.summaries(now=now, max_age_s=SUMMARY_MAX_AGE_S))

    def record_refusal(
        self, server: str, reason: RefusalReason, *, batch: bool, now: float
    ) -> None:
        """Record a refusal. The server responded, so it no longer counts as down.

        :param batch: Whether a batch request was refused. The limit for batch requests is lower, so
            the server may still accept interactive ones.
        """
        self.record_response(server)
        if reason in _UNAVAILABLE_REASONS:
            self._unavailable_until[server] = now + STATE_TTL_S
        elif reason in _FULL_REASONS:
            self._full_until[server, batch] = now + FULL_TTL_S

    def record_failure(self, server: str, *, now: float) -> None:
        """Skip a server for a backoff time after a failed connection or an invalid response."""
        self._backoffs.setdefault(server, Backoff()).record_failure(now=now)

    def record_response(self, server: str) -> None:
        """Record that a server responded, which ends its backoff."""
        self._backoffs.pop(server, None)

    def record_finished(self, server: str) -> None:
        """Record that a request ended after the last load report of its server."""
        self._load_corrections[server] = self._load_corrections.get(server, 0) - 1
        self._clear_full(server)

    def is_available(self, server: str, *, now: float) -> bool:
        """Return whether the server is not in backoff and not known to refuse all requests."""
        backoff = self._backoffs.get(server)
        if backoff is not None and backoff.is_waiting(now=now):
            return False
        if now < self._unavailable_until.get(server, 0.0):
            return False
        report = self._fresh_report(server, now)
        return report is None or report.state is ServerState.SERVING

    def is_full(self, server: str, *, batch: bool, now: float) -> bool:
        """Return whether a recent response shows that the server is at its load limit.

        :param batch: Whether to apply the lower limit for batch requests.
        """
        if now < self._full_until.get((server, False), 0.0):
            return True
        if batch and now < self._full_until.get((server, True), 0.0):
            return True
        report = self._fresh_report(server, now, max_age_s=FULL_TTL_S)
        if report is None:
            return False
        limit = max(1, int(report.limit * BATCH_SHARE)) if batch else report.limit
        return self._current_load(report) >= limit

    def relative_load(self, server: str, *, now: float) -> float:
        """Return the load per unit of capacity with one more request, or 0 without a report."""
        report = self._load_table.report(server, now=now)
        if report is None:
            return 0.0
        return (self._current_load(report) + 1) / max(report.capacity, 1e-9)

    def _clear_full(self, server: str) -> None:
        self._full_until.pop((server, False), None)
        self._full_until.pop((server, True), None)

    def _current_load(self, report: LoadReport) -> int:
        return max(0, report.load + self._load_corrections.get(report.server, 0))

    def _fresh_report(
        self, server: str, now: float, *, max_age_s: float = STATE_TTL_S
    ) -> LoadReport | None:
        report = self._load_table.report(server, now=now)
        if report is None or report.age_ms > max_age_s * 1000:
            return None
        return report
