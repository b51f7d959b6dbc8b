"""Settings that routers and agents have in common."""

from __future__ import annotations

from typing import NamedTuple


class ProcessSettings(NamedTuple):
    """Name, location and addresses of a process."""

    name: str
    region: str
    dc: str
    """Data centre."""
    http: str
    """``ip:port`` of the HTTP listener."""
    control: str
    """``ip:port`` of the control listener."""
    platform_url: str
    """Base URL of the platform's log service and host list."""
    fleet_key: str
    """Secret shared by all processes of the fleet, at least 16 characters."""
    log_format: str = "json"
    """``json`` or ``console``."""
    drain_timeout_s: float = 30.0
    """Maximum wait for requests in progress during a planned stop."""
