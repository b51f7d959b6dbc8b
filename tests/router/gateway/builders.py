"""Builders of settings and records for tests of the gateway."""

from __future__ import annotations

from typing import Any

from cornellead.gateway.view import ServerState
from cornellead_core.routing import CallerLimits
from cornellead_core.routing import RequestKind
from cornellead_core.routing import Route
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingData
from cornellead_core.routing import ServerEntry
from cornellead_core.routing import Service
from cornellead_core.routing import Team
from cornellead_core.routing import TeamKeys
from cornellead_core.routing import WeightedService

LIMITS = CallerLimits(header_bytes=2048, body_bytes=4096, header_timeout_s=0.3, idle_timeout_s=0.5)
HOST = "box.example"
KEY = "key-1"


def make_entry(server: str = "s1", **changes: Any) -> ServerEntry:
    """Return the store entry of a warm server that accepts requests."""
    entry = ServerEntry(
        server=server,
        service="llm",
        address=f"{server}.test:80",
        data_centre="dc-a",
        slots=64,
        draining=False,
        cold_s=0.0,
        started_ms=1,
    )
    return entry._replace(**changes)


def make_state(server: str = "s1", *, in_flight: int = 0, **changes: Any) -> ServerState:
    """Return the state of a server with some requests in flight, at time 0."""
    state = ServerState(entry=make_entry(server, **changes), now=0.0)
    for number in range(in_flight):
        state.health.start_request(number, now=0.0)
    return state


def make_route(name: str, kind: RequestKind, **changes: Any) -> Route:
    """Return a route whose path prefix is its name."""
    route = Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        kind=kind,
        timeout_s=2.0,
        target_latency_s=0.2,
        priority=1,
        services=(WeightedService("llm", 1.0),),
        max_attempts=2,
        public=False,
        resumable=False,
        target_gap_s=0.5,
    )
    return route._replace(**changes)


def make_config(
    version: int = 1, *, cold_rate_per_s: float = 0.0, max_attempts: int = 2, **unsafe: Any
) -> RoutingConfig:
    """Return a configuration with a route of each kind.

    :param max_attempts: Maximum number of servers that may run a request of the resumable route.
    :param unsafe: Changes to the route whose requests may run once.
    """
    return RoutingConfig(
        data=RoutingData(
            version=version,
            routes=(
                make_route("safe", RequestKind.SAFE),
                make_route("unsafe", RequestKind.UNSAFE, **unsafe),
                make_route("stream", RequestKind.STREAMING),
                make_route(
                    "resumable",
                    RequestKind.STREAMING,
                    resumable=True,
                    timeout_s=10.0,
                    max_attempts=max_attempts,
                ),
            ),
            services=(
                Service(
                    name="llm",
                    max_connections=100,
                    cold_start_s=3.0,
                    cold_rate_per_s=cold_rate_per_s,
                    slots=64,
                    kv_capacity_tokens=1000,
                ),
            ),
            limits=LIMITS,
            teams=(TeamKeys(Team("schools", 3), (KEY,)),),
            keys_required=True,
        )
    )
