"""Metrics of the agent, taken from its status when they are read."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_agent.api._status_view import StatusView
    from cornellead_core.metrics import Metrics

GAUGES = {
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
TOTALS = {
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
    """Renders the status in the Prometheus text format."""

    def __init__(self, *, metrics: Metrics, status: StatusView) -> None:
        self._metrics = metrics
        self._status = status
        self._gauges = {name: metrics.gauge(name, text) for name, text in GAUGES.items()}
        self._totals = {name: metrics.counter(name, text) for name, text in TOTALS.items()}
        self._refusals = metrics.counter("refusals", "Refused requests.", ["reason"])
        self._counted: dict[str, float] = {}

    def render(self) -> bytes:
        """Bring the metrics up to date and render them."""
        status = self._status.collect()
        for name, gauge in self._gauges.items():
            gauge.set(status[name])
        for name, counter in self._totals.items():
            counter.inc(self._increase(name, status[name]))
        for reason, count in status["refusals"].items():
            self._refusals.labels(reason).inc(self._increase(f"refusals/{reason}", count))
        return self._metrics.render()

    def _increase(self, name: str, value: float) -> float:
        before = self._counted.get(name, 0.0)
        self._counted[name] = value
        return value - before
