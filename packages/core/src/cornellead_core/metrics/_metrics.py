"""Prometheus metrics of one process."""

from __future__ import annotations

import asyncio
from importlib import import_module
from typing import TYPE_CHECKING

from cornellead_core.metrics._values import Counter
from cornellead_core.metrics._values import Gauge

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from prometheus_client.core import CounterMetricFamily
    from prometheus_client.core import GaugeMetricFamily

NAMESPACE = "cornellead"


class Metrics:
    """Creates metrics and renders them in the Prometheus text format.

    The Prometheus library is loaded when metrics are first rendered: it accounts for a fifth of the
    processor time that a gateway needs to start.
    """

    def __init__(self) -> None:
        self._counters: list[Counter] = []
        self._gauges: list[Gauge] = []

    def counter(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Counter:
        """Create a counter ``cornellead_<name>_total``."""
        counter = Counter(f"{NAMESPACE}_{name}", documentation, labels)
        self._counters.append(counter)
        return counter

    def gauge(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Gauge:
        """Create a gauge ``cornellead_<name>``."""
        gauge = Gauge(f"{NAMESPACE}_{name}", documentation, labels)
        self._gauges.append(gauge)
        return gauge

    async def render_in_background(self) -> bytes:
        """Return all metrics, after the library was loaded in a thread."""
        await asyncio.to_thread(import_module, "prometheus_client")
        return self.render()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield all metrics; called by the Prometheus library."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily

        for counter in self._counters:
            counts = CounterMetricFamily(
                counter.name, counter.documentation, labels=counter.label_names
            )
            for sample in counter.samples():
                counts.add_metric(sample.labels, sample.value, created=sample.created_at)
            yield counts
        for gauge in self._gauges:
            values = GaugeMetricFamily(gauge.name, gauge.documentation, labels=gauge.label_names)
            for sample in gauge.samples():
                values.add_metric(sample.labels, sample.value)
            yield values
