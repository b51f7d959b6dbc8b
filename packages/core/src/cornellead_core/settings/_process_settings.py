"""Settings that routers and agents have in common."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import CallerSettings


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
    max_head_bytes: int = 64 << 10
    """Maximum size of the request line and headers, of the trailers, and of chunk extensions."""
    head_timeout_s: float = 20.0
    """Time within which a caller has to send the whole head of a request."""
    max_control_connections: int = 2048
    """Connections of peers at the control listener; at most a fifth of the descriptors."""
    callers: CallerSettings = CallerSettings()
    """Bounds on the callers of the HTTP listener."""
