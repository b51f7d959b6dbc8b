"""Configuration of structured logging."""

from __future__ import annotations

from cornellead_core.logs._configure import configure_logs
from cornellead_core.logs._configure import configure_service_logs
from cornellead_core.logs._rate_limited_output import RateLimitedOutput

__all__ = ["RateLimitedOutput", "configure_logs", "configure_service_logs"]
