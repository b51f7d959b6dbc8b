"""Settings of a process on a platform host."""

from __future__ import annotations

from typing import NamedTuple


class Bounds(NamedTuple):
    """Limits and budgets set by the deployment."""

    drain_grace_s: float
    """Time from SIGTERM to SIGKILL."""
    retry_ratio: float
    """Retries allowed per request of a service, across all routers."""
    retry_window_s: float
    """Window over which retries are counted."""
    retry_minimum: float
    """Retries allowed per window in addition to `retry_ratio`, across all routers."""
    cold_slack: float
    """Requests that a cold server accepts within one second in addition to its cold rate."""
    load_factor: float
    """Maximum load of a server as a multiple of the mean load of its service."""
    config_delay_s: float
    """Time after its acknowledgement within which a configuration has to be in force."""
    exposure_share: float = 0.1
    """Maximum share of the requests of a service, from the order of a rollout to its deadline, that
    may reach the new version before it has proved itself."""
    exposure_slack: float = 50.0
    """Requests that may reach the new version in addition to `exposure_share`."""
    rollback_s: float = 5.0
    """Time after the 50th bad response of a version within which it gets its last request."""


class StoreSettings(NamedTuple):
    """Address and rates of the platform's store."""

    address: str
    reads_per_s: float
    """Read requests per second that the store accepts from all processes together."""
    writes_per_s: float
    """Write requests per second that the store accepts from all processes together."""


class CallerSettings(NamedTuple):
    """Bounds on what callers may use; 0 for a default derived from the host."""

    budget_bytes: int = 0
    """What is held for all callers together: requests and unread responses."""
    connections: int = 0
    connections_per_address: int = 0
    unread_timeout_s: float = 0.0
    """Time without a byte being read after which a caller with unread responses is closed."""


class NodeSettings(NamedTuple):
    """Settings of one process."""

    node: str
    ip: str
    data_centre: str
    regions: dict[str, str]
    """Region of each data centre."""
    caller_address: str
    """Listen address for callers as ``ip:port``; empty if the process does not serve callers."""
    ready_address: str
    """Listen address for readiness checks as ``ip:port``; empty if the process serves none."""
    first_internal_port: int
    max_descriptors: int
    """Maximum number of open file descriptors that the host allows."""
    link_mbps: float
    """Bandwidth of the host's link in Mbit/s; 0 if unknown."""
    bounds: Bounds
    store: StoreSettings
    memory_mb: float = 0.0
    """Memory of the host in MB; 0 if unknown."""
    callers: CallerSettings = CallerSettings()
    heartbeat_s: float = 0.0
    """Interval at which servers renew their entries in the store; 0 if unknown."""
