"""What a server announces about itself."""

from __future__ import annotations

from typing import NamedTuple


class ServerEntry(NamedTuple):
    """Entry of one server in the list of servers."""

    server: str
    """Name of one incarnation, checked by the server on each request."""
    service: str
    address: str
    """``ip:port``."""
    data_centre: str
    slots: int
    draining: bool
    """Whether the server leaves and takes no new requests."""
    cold_s: float
    """Time for which the server stays cold, counted from the entry's writing."""
    started_ms: int
    """Unix time of the start in ms; 0 if not announced."""


class ReportedLoad(NamedTuple):
    """Load that a server added to a response."""

    running: int
    waiting: int
    slots: int
