"""Structured logs."""

from __future__ import annotations

from cornellead_core.logs._bounded_output import BoundedOutput
from cornellead_core.logs._configure import configure_logs
from cornellead_core.logs._configure import configure_service_logs

__all__ = ["BoundedOutput", "configure_logs", "configure_service_logs"]
