"""Settings of a router."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.settings._process_settings import ProcessSettings


class RouterSettings(NamedTuple):
    """Settings of a router."""

    process: ProcessSettings
    placement_attempts: int = 4
    retry_ratio: float = 0.1
    """Retries allowed per request after failures."""
    retry_min_per_s: float = 10.0
    default_deadline_s: float = 120.0
    max_body_bytes: int = 4 << 20
    body_timeout_s: float = 10.0
    max_waiting: int = 1000
    """Requests that may wait for a server at the same time."""
