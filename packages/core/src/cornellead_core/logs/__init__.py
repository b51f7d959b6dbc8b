"""Structured logs."""

from __future__ import annotations

from cornellead_core.logs._configure import configure_logs

__all__ = ["configure_logs"]
