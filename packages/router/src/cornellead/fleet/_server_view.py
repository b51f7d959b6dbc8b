"""A router's view of load and state, learned from responses."""

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

VIEW_TRUST_S = 2.0
"""Age up to which a server is skipped because of what its last response said."""
FULL_TRUST_S = 0.2
"""Age up to which a server counts as full; loads change with every request that ends, and a longer
trust sends chats away from their cache."""
SUMMARY_MAX_AGE_S = 3.0

_UNAVAILABLE = {
    RefusalReason.DRAINING,
    RefusalReason.OUT_OF_SERVICE,
    RefusalReason.SERVER_DOWN,
    RefusalReason.UNAUTHORIZED,
}
_FULL = {RefusalReason.OVER_BOUND, RefusalReason.COLD}


class ServerView:
    """Down marks, refusals and load reports of servers.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._table = LoadTable()
        self._backoffs: dict[str, Backoff] = {}
        self._unavailable_until: dict[str, float] = {}
        self._full_until: dict[tuple[str, bool], float] = {}
        self._delta: dict[str, int] = {}

    def merge(self, digest: Digest, *, now: float) -> None:
        """Learn from the digest of a response."""
        self._table.merge(digest, now=now)
        if digest.own is not None:
            self._delta.pop(digest.own.server, None)
            if digest.own.load < digest.own.limit:
                self._forget_full(digest.own.server)

    def digest(self, *, now: float) -> Digest:
        """Return the summaries to pass on with a request."""
        return Digest(self._table.summaries(now=now, max_age_s=SUMMARY_MAX_AGE_S))

    def refused(self, server: str, reason: RefusalReason, *, batch: bool, now: float) -> None:
        """Learn from a refusal; the server itself answered, so it is not down.

        :param batch: Class of the refused request; its lower limit says nothing about others.
        """
        self.answered(server)
        if reason in _UNAVAILABLE:
            self._unavailable_until[server] = now + VIEW_TRUST_S
        elif reason in _FULL:
            self._full_until[server, batch] = now + FULL_TRUST_S

    def failed(self, server: str, *, now: float) -> None:
        """Mark a server down after a failed connection or a broken response."""
        self._backoffs.setdefault(server, Backoff()).fail(now=now)

    def answered(self, server: str) -> None:
        """Remove the down mark."""
        self._backoffs.pop(server, None)

    def finished(self, server: str) -> None:
        """Count a request that ended after the last report."""
        self._delta[server] = self._delta.get(server, 0) - 1
        self._forget_full(server)

    def available(self, server: str, *, now: float) -> bool:
        """Return whether the server is neither marked down nor known to refuse all work."""
        backoff = self._backoffs.get(server)
        if backoff is not None and backoff.waiting(now=now):
            return False
        if now < self._unavailable_until.get(server, 0.0):
            return False
        report = self._recent(server, now)
        return report is None or report.state is ServerState.SERVING

    def full(self, server: str, *, batch: bool, now: float) -> bool:
        """Return whether a recent response says that the server is at its limit for a class."""
        if now < self._full_until.get((server, False), 0.0):
            return True
        if batch and now < self._full_until.get((server, True), 0.0):
            return True
        report = self._recent(server, now, max_age_s=FULL_TRUST_S)
        if report is None:
            return False
        limit = max(1, int(report.limit * BATCH_SHARE)) if batch else report.limit
        return self._load(report) >= limit

    def relative_load(self, server: str, *, now: float) -> float:
        """Return the last known load per unit of capacity, 0 for an unknown server."""
        report = self._table.report(server, now=now)
        if report is None:
            return 0.0
        return (self._load(report) + 1) / max(report.capacity, 1e-9)

    def _forget_full(self, server: str) -> None:
        self._full_until.pop((server, False), None)
        self._full_until.pop((server, True), None)

    def _load(self, report: LoadReport) -> int:
        return max(0, report.load + self._delta.get(report.server, 0))

    def _recent(
        self, server: str, now: float, *, max_age_s: float = VIEW_TRUST_S
    ) -> LoadReport | None:
        report = self._table.report(server, now=now)
        if report is None or report.age_ms > max_age_s * 1000:
            return None
        return report
