"""Routes, services and teams configured by operators."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """Whether the requests of a route may be retried on another server."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once per attempt of the caller."""
    STREAMING = "streaming"
    """Responds with an event stream; may run again only if the route is resumable."""


class WeightedService(NamedTuple):
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Routing rule for the requests to one host name and path prefix."""

    name: str
    host: str
    """Host name in lower case, without a port."""
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    """Maximum time to serve a request."""
    target_latency_s: float
    """Target for the time to the response, or to the first event of a stream."""
    priority: int
    """0 is the most urgent."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Maximum number of servers that may run one attempt of a caller."""
    public: bool
    """Whether requests need no API key."""
    resumable: bool
    """Whether another server may resume an interrupted stream."""
    target_gap_s: float
    """Target for the time between events of a stream; 0 if there is none."""
    regions: frozenset[str] = frozenset()
    """Regions whose servers may run requests; empty for all regions."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAMING and self.resumable
        )


class Service(NamedTuple):
    """Group of interchangeable servers."""

    name: str
    max_connections: int
    """Connections that one server accepts from all clients together."""
    cold_start_s: float
    """Time after its start during which a server is cold."""
    cold_rate_per_s: float
    """Requests per second that a cold server accepts; 0 if the service has no cold phase."""
    slots: int
    """Requests that one server processes concurrently; 0 if unknown."""
    kv_capacity_tokens: int
    """Capacity of a model server's KV cache in tokens; 0 for services without a model."""


class CallerLimits(NamedTuple):
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Team(NamedTuple):
    """Team and its overrides for requests."""

    name: str
    priority: int | None
    """Overrides the priority of the route unless ``None``."""
    regions: frozenset[str] = frozenset()
    """Regions whose servers may run requests of the team; empty for all regions."""
