"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from cornellead_core.metrics._latency import Latency
from cornellead_core.metrics._metrics import Metrics

__all__ = ["Latency", "Metrics"]
