"""Prometheus metrics of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Sequence

NAMESPACE = "cornellead"


class Metrics:
    """Creates metrics in a registry of their own and renders them in the Prometheus text format."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()

    def counter(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Counter:
        """Create a counter ``cornellead_<name>_total``."""
        return Counter(name, documentation, labels, namespace=NAMESPACE, registry=self._registry)

    def gauge(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Gauge:
        """Create a gauge ``cornellead_<name>``."""
        return Gauge(name, documentation, labels, namespace=NAMESPACE, registry=self._registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
