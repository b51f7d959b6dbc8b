"""Metrics of a gateway."""

from __future__ import annotations

from cornellead.gateway.stats._gateway_stats import GatewayStats

__all__ = ["GatewayStats"]
