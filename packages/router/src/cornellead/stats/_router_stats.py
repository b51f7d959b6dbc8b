"""Counters, latencies and requests in progress of one router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cornellead_core.metrics import Latency

if TYPE_CHECKING:
    from cornellead_core.metrics import Metrics


class RouterStats:
    """Counts what the router does; decisions never read it."""

    def __init__(self, *, metrics: Metrics) -> None:
        self.in_progress = 0
        self.added = Latency()
        """Time to first token that the router adds, without time in the wait queue."""
        self.wait = Latency()
        """Time in the wait queue, of the requests that waited."""
        self.refusals: Counter[str] = Counter()
        self.resumes = 0
        self.tokens = 0
        """Stream events forwarded."""
        self._requests = metrics.counter(
            "requests", "Requests by kind and status", ["kind", "status"]
        )
        self._refused = metrics.counter("refusals", "Error responses by code", ["code"])
        self._events = metrics.counter("stream_events", "Stream events forwarded to callers")
        self._resumes = metrics.counter("stream_resumes", "Streams resumed after a break or a move")
        self._progress = metrics.gauge("requests_in_progress", "Requests in progress")
        self._progress.set_function(lambda: self.in_progress)

    def count_response(self, kind: str, status: int) -> None:
        """Count a response to a caller.

        :param kind: ``chat`` or ``service``.
        """
        self._requests.labels(kind, str(status)).inc()

    def count_error(self, code: str) -> None:
        """Count an error response or error event."""
        self.refusals[code] += 1
        self._refused.labels(code).inc()

    def count_events(self, number: int) -> None:
        """Count stream events forwarded to a caller."""
        self.tokens += number
        self._events.inc(number)

    def count_resume(self) -> None:
        """Count a resumed stream."""
        self.resumes += 1
        self._resumes.inc()
