"""Routes, services and teams as operators configure them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once for each attempt of a caller."""
    STREAMING = "streaming"
    """Answers with a stream of events; may run again only where the route allows resuming."""


class WeightedService(NamedTuple):
    """A service that takes a share of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are served."""

    name: str
    host: str
    """Host name in lower case, without a port."""
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    """Longest time that a request may be kept waiting."""
    target_latency_s: float
    """Time within which an answer, or the first event of a stream, is on time."""
    priority: int
    """0 is the most urgent."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Servers that may run one attempt of a caller."""
    public: bool
    """Whether requests need no API key."""
    resumable: bool
    """Whether a stream may continue at another server."""
    target_gap_s: float
    """Longest pause between events of a stream that is on time; 0 without one."""
    regions: frozenset[str] = frozenset()
    """Regions whose servers may run requests; empty for all."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAMING and self.resumable
        )


class Service(NamedTuple):
    """A group of servers that run the same requests."""

    name: str
    max_connections: int
    """Connections that one server accepts from all callers together."""
    cold_start_s: float
    """Time after a start during which a server is cold."""
    cold_rate_per_s: float
    """Requests a second that a cold server bears; 0 when the service has no cold phase."""
    slots: int
    """Requests that one server processes at once; 0 if unknown."""
    kv_capacity_tokens: int
    """Tokens that one model server keeps in memory; 0 for plain services."""


class CallerLimits(NamedTuple):
    """Limits on what a caller sends and on how long it takes."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Team(NamedTuple):
    """A team and what is particular to its requests."""

    name: str
    priority: int | None
    """Takes precedence over the priority of the route when set."""
    regions: frozenset[str] = frozenset()
    """Regions whose servers may run requests; empty for all."""
