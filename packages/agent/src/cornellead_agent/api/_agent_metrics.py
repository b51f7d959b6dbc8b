"""Prometheus metrics of the agent, computed from its status on each scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_agent.api._status_view import StatusView
    from cornellead_core.metrics import Metrics

GAUGE_HELP = {
    "load": "Requests in flight.",
    "limit": "Admission limit in requests.",
    "cold_limit": "Limit of a server that may be cold, in requests.",
    "capacity": "Requests that the server bears when warm.",
    "rho": "Estimated mean load per unit of capacity.",
    "estimate_age_s": "Age of the oldest summary in the estimate, in seconds.",
    "max_over_mean": "Highest ratio of load to estimated mean at an admission.",
    "config_offset": "Offset of the configuration in force.",
    "resident_bytes": "Resident memory.",
}
COUNTER_HELP = {
    "admissions": "Admitted requests.",
    "cold_drops": "Drops of the cold limit.",
    "prompt_tokens": "Prompt tokens.",
    "cached_tokens": "Prompt tokens found in the cache.",
    "completion_tokens": "Generated tokens.",
    "completed": "Requests that the server finished.",
    "engine_errors": "Requests that failed at the server.",
    "resumes": "Continuations of broken engine streams.",
    "moved": "Streams moved during a drain.",
    "cancelled": "Requests cancelled by the router.",
    "control_bytes": "Bytes of control traffic, sent and received.",
}


class AgentMetrics:
    """Renders the status in the Prometheus text format.

    The status holds totals, but Prometheus counters accept only increments: the value of the last
    scrape is kept for each total.
    """

    def __init__(self, *, metrics: Metrics, status: StatusView) -> None:
        self._metrics = metrics
        self._status = status
        self._gauges = {name: metrics.gauge(name, text) for name, text in GAUGE_HELP.items()}
        self._counters = {name: metrics.counter(name, text) for name, text in COUNTER_HELP.items()}
        self._refusals = metrics.counter("refusals", "Refused requests.", ["reason"])
        self._last_totals: dict[str, float] = {}

    def render(self) -> bytes:
        """Update all metrics from the present status and return the exposition text."""
        status = self._status.collect()
        for name, gauge in self._gauges.items():
            gauge.set(status[name])
        for name, counter in self._counters.items():
            counter.inc(self._increment(name, status[name]))
        for reason, count in status["refusals"].items():
            self._refusals.labels(reason).inc(self._increment(f"refusals/{reason}", count))
        return self._metrics.render()

    def _increment(self, name: str, value: float) -> float:
        previous = self._last_totals.get(name, 0.0)
        self._last_totals[name] = value
        return value - previous
