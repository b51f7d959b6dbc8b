"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from cornellead_core.metrics._latency_histogram import LatencyHistogram
from cornellead_core.metrics._metrics import Metrics

__all__ = ["LatencyHistogram", "Metrics"]
