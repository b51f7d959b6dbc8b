"""Counters and latency histograms of a router."""

from __future__ import annotations

from cornellead.stats._router_stats import RouterStats

__all__ = ["RouterStats"]
