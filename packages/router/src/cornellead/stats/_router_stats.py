"""Counters, latency histograms and the number of requests in progress of one router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cornellead_core.metrics import LatencyHistogram

if TYPE_CHECKING:
    from cornellead_core.metrics import Metrics


class RouterStats:
    """Collects statistics for operators; routing decisions do not depend on them."""

    def __init__(self, *, metrics: Metrics) -> None:
        self.in_progress = 0
        self.added_latency = LatencyHistogram()
        """Latency that the router adds to the time to first token, without queuing."""
        self.queue_latency = LatencyHistogram()
        """Time in the wait queue, of requests that were queued."""
        self.refusals: Counter[str] = Counter()
        """Number of error responses and error events, by code."""
        self.resumes = 0
        """Number of resumed streams."""
        self.events_forwarded = 0
        """Number of stream events that were forwarded."""
        self._requests = metrics.counter(
            "requests", "Requests by kind and status", ["kind", "status"]
        )
        self._errors = metrics.counter("refusals", "Error responses by code", ["code"])
        self._events = metrics.counter("stream_events", "Stream events forwarded to callers")
        self._resumes = metrics.counter("stream_resumes", "Streams resumed after a break or a move")
        self._requests_in_progress = metrics.gauge("requests_in_progress", "Requests in progress")
        self._requests_in_progress.set_function(lambda: self.in_progress)

    def count_response(self, kind: str, status: int) -> None:
        """Count a response to a caller.

        :param kind: ``chat`` or ``service``.
        :param status: HTTP status.
        """
        self._requests.labels(kind, str(status)).inc()

    def count_error(self, code: str) -> None:
        """Count an error response, or an error event in a stream that has already started."""
        self.refusals[code] += 1
        self._errors.labels(code).inc()

    def count_events(self, number: int) -> None:
        """Count the stream events that were forwarded to a caller."""
        self.events_forwarded += number
        self._events.inc(number)

    def count_resume(self) -> None:
        """Count a stream that was resumed after a break or a move."""
        self.resumes += 1
        self._resumes.inc()
