"""Settings that every process has."""

from __future__ import annotations

from typing import NamedTuple


class ProcessSettings(NamedTuple):
    """Name, place and addresses of a process."""

    name: str
    region: str
    dc: str
    http: str
    """``ip:port`` of the HTTP listener."""
    control: str
    """``ip:port`` of the control listener."""
    platform_url: str
    fleet_key: str
    """Shared secret of the fleet, at least 16 characters."""
    log_format: str = "json"
    """``json`` or ``console``."""
    drain_timeout_s: float = 30.0
    """Longest wait for requests in progress during a planned stop."""
