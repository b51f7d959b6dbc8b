"""Settings of one process on a host of the platform."""

from __future__ import annotations

from typing import NamedTuple


class Bounds(NamedTuple):
    """Time bounds and budgets that the deployment sets."""

    drain_grace_s: float
    """Time from SIGTERM to SIGKILL."""
    retry_ratio: float
    """Retries allowed per request of a service, over all routers."""
    retry_window_s: float
    """Window over which retries are counted."""
    retry_minimum: float
    """Retries allowed in a window besides the share of the requests, over all routers."""
    cold_slack: float
    """Requests in one second that a cold server bears besides its rate."""
    load_factor: float
    """Highest load of a server as a multiple of the mean of its service."""


class StoreSettings(NamedTuple):
    """Address and rates of the platform's store."""

    address: str
    reads_per_s: float
    """Read calls a second that the store serves to all processes together."""
    writes_per_s: float
    """Write calls a second that the store serves to all processes together."""


class NodeSettings(NamedTuple):
    """Settings of one process."""

    node: str
    ip: str
    data_centre: str
    regions: dict[str, str]
    """Region of each data centre."""
    caller_address: str
    """``ip:port`` for callers; empty if the process serves none."""
    ready_address: str
    """``ip:port`` for readiness checks; empty if the process serves none."""
    first_internal_port: int
    max_descriptors: int
    """Open files and sockets that the host allows."""
    bounds: Bounds
    store: StoreSettings
