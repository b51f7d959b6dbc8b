"""Settings file of a router."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.settings._process_settings import ProcessSettings


class RouterSettings(NamedTuple):
    """Settings of a router, its retries and the limits on callers."""

    process: ProcessSettings
    placement_attempts: int = 4
    """Servers tried in preference order before the fallback to the least loaded one."""
    retry_ratio: float = 0.1
    """Retries added to the retry budget per request."""
    retry_min_per_s: float = 10.0
    """Retries added to the retry budget per second, regardless of traffic."""
    default_deadline_s: float = 120.0
    """Deadline of a request that names none, counted from its arrival."""
    max_body_bytes: int = 4 << 20
    body_timeout_s: float = 10.0
    """Time within which a caller has to send the whole request body."""
    max_waiting: int = 1000
    """Maximum number of queued requests over all models."""
