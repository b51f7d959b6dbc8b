"""Rendering of metrics, and the libraries that a process needs before that."""

from __future__ import annotations

import subprocess
import sys

from prometheus_client.parser import text_string_to_metric_families

from cornellead_core.metrics import Metrics


async def test_metrics_are_rendered_in_the_text_format() -> None:
    """Guards against names, labels or values that monitoring does not find."""
    metrics = Metrics()
    requests = metrics.counter("requests", "Requests by status", ["status", "cause"])
    requests.labels("200", "delivered").inc()
    requests.labels("200", "delivered").inc(2)
    metrics.counter("events", "Events").inc()
    metrics.gauge("servers", "Servers").set(4)
    metrics.gauge("seconds", "Time", ["quantile"]).labels("0.5").set_function(lambda: 0.25)
    text = (await metrics.render_in_background()).decode()
    samples = {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if not sample.name.endswith("_created")
    }
    assert samples == {
        ("cornellead_requests_total", (("cause", "delivered"), ("status", "200"))): 3.0,
        ("cornellead_events_total", ()): 1.0,
        ("cornellead_servers", ()): 4.0,
        ("cornellead_seconds", (("quantile", "0.5"),)): 0.25,
    }
    assert "# TYPE cornellead_requests_total counter" in text
    assert "cornellead_events_created" in text


def test_a_gateway_starts_without_the_metrics_library() -> None:
    """Guards against a library that delays the start of a router and that only monitoring needs."""
    code = (
        "import sys\n"
        "from cornellead.gateway.process import GatewayProcess\n"
        "from cornellead_core.metrics import Metrics\n"
        "Metrics().counter('requests', 'Requests').inc()\n"
        "print([name for name in ('prometheus_client', 'http.server') if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=30
    )
    assert done.stdout.strip() == "[]"
