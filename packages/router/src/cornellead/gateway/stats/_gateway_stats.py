"""Counters and latency quantiles of one gateway process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cornellead_core.metrics import LatencyHistogram

if TYPE_CHECKING:
    from cornellead_core.metrics import Metrics

QUANTILES = (0.5, 0.95, 0.99)
REPLACED = -1.0
"""Share of a rollout in a phase that another one has followed."""


class GatewayStats:
    """Counts requests, decisions and view changes; no decision depends on these values."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._requests = metrics.counter(
            "gateway_requests", "Requests by status and cause", ["status", "cause"]
        )
        self._decisions = metrics.counter("gateway_decisions", "Decisions by kind", ["decision"])
        self._view_changes = metrics.counter(
            "gateway_belief_changes", "Changes of belief", ["belief"]
        )
        self._operator_bytes = metrics.counter(
            "gateway_operator_read_bytes", "Bytes of reads with operators' changes", ["source"]
        )
        self._unreadable_records = metrics.counter(
            "gateway_unreadable_records", "Records that name nothing to use", ["topic"]
        )
        self._task_failures = metrics.counter(
            "gateway_task_failures", "Failures of background tasks", ["task"]
        )
        self._rollouts = metrics.gauge(
            "gateway_rollout_share",
            "Share of the requests that the version of a rollout gets, by phase",
            ["service", "version", "phase"],
        )
        self._rollout_phases: dict[str, tuple[str, str, str]] = {}
        self._latency = LatencyHistogram()
        self._loop_delay = LatencyHistogram()
        for name, description, histogram in (
            ("gateway_request_seconds", "Time to the end of requests", self._latency),
            ("gateway_loop_delay_seconds", "Delay of the event loop", self._loop_delay),
        ):
            gauge = metrics.gauge(name, description, ["quantile"])
            for quantile in QUANTILES:
                gauge.labels(str(quantile)).set_function(partial(histogram.quantile, quantile))

    def count_request(self, status: int, cause: str, seconds: float) -> None:
        """Count a finished request and record its duration.

        :param status: 0 if the caller got no complete response.
        """
        self._requests.labels(str(status), cause).inc()
        self._latency.record(seconds)

    def set_rollout(self, service: str, version: str, phase: str, share: float) -> None:
        """Record the state of the rollout of a service; the one before is shown as -1."""
        labels = (service, version, phase)
        before = self._rollout_phases.get(service)
        if before is not None and before != labels:
            self._rollouts.labels(*before).set(REPLACED)
        self._rollout_phases[service] = labels
        self._rollouts.labels(*labels).set(share)

    def count_loop_delay(self, seconds: float) -> None:
        """Record how late the event loop ran what was due."""
        self._loop_delay.record(seconds)

    def count_decision(self, decision: str) -> None:
        """Count a decision on a request, such as a retry."""
        self._decisions.labels(decision).inc()

    def count_operator_read(self, source: str, body_bytes: int) -> None:
        """Count the bytes of a read that brought operators' changes.

        :param source: ``store`` or ``router``.
        """
        self._operator_bytes.labels(source).inc(body_bytes)

    def count_unreadable_records(self, topic: str, count: int) -> None:
        """Count records of the store that could not be decoded or are not plausible."""
        self._unreadable_records.labels(topic).inc(count)

    def count_task_failure(self, task: str) -> None:
        """Count a background task that failed and is restarted."""
        self._task_failures.labels(task).inc()

    def count_view_change(self, kind: str) -> None:
        """Count a change of this router's view of the fleet, such as a server that ended."""
        self._view_changes.labels(kind).inc()
