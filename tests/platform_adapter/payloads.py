"""Builders of payloads in the platform's format: configurations, server entries and settings."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Sequence


TEAM_HEADER = "x-tenant"
"""Header in which the router sends the team to a server; the platform calls teams "tenants"."""


def operator_config(
    version: int = 7, *, keys: Sequence[str] | None = None, **changes: Any
) -> dict[str, Any]:
    """Return a routing configuration with a route to two services, one of them a model service, and
    a route to the plain service alone.

    :param keys: API keys of the only team, instead of the default ones; empty for no team.
    :param changes: Top-level fields to replace.
    """
    body: dict[str, Any] = {
        "version": version,
        "routes": [
            {
                "name": "plan",
                "hostname": "Box.example",
                "path_prefix": "/plan/",
                "kind": "streaming",
                "timeout_ms": 15000,
                "target_latency_ms": 800,
                "priority": 1,
                "weighted_services": [
                    {"service": "llm", "weight": 90},
                    {"service": "app", "weight": 10},
                ],
                "max_attempts": 1,
                "stream_resume": False,
                "gap_target_ms": 500,
            },
            {
                "name": "pay",
                "hostname": "box.example",
                "path_prefix": "/pay/",
                "kind": "unsafe",
                "timeout_ms": 1500,
                "target_latency_ms": 200,
                "service": "app",
            },
        ],
        "services": [
            {
                "name": "llm",
                "max_connections": 370,
                "cold_start_s": 3.0,
                "cold_per_s": 11.0,
                "engine": {"slots": 64, "kv_capacity_tokens": 1000},
            },
            {"name": "app", "max_connections": 110, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "schools", "api_keys": ["k1", "k2"], "priority": 2}],
    }
    if keys is not None:
        body["tenants"] = [{"name": "schools", "api_keys": list(keys)}] if keys else []
    return body | changes


def large_operator_config(version: int, *, route_count: int) -> dict[str, Any]:
    """Return a routing configuration with many plain routes, of about 200 bytes each."""
    routes = [
        {
            "name": f"r-{number:06d}",
            "hostname": "box.example",
            "path_prefix": f"/{number:06d}/",
            "kind": "safe",
            "timeout_ms": 1500,
            "target_latency_ms": 200,
            "priority": 2,
            "service": "app",
            "max_attempts": 2,
            "public": False,
            "sticky_sessions": False,
            "stream_resume": False,
        }
        for number in range(route_count)
    ]
    return operator_config(version, routes=routes)


def server_entry(address: str = "10.0.0.9:8080", **changes: Any) -> dict[str, Any]:
    """Return the entry of a server.

    :param changes: Fields to replace.
    """
    body: dict[str, Any] = {
        "service": "llm",
        "address": address,
        "zone": "kgl-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1790000000000,
    }
    return body | changes


def node_settings(store: str, **changes: Any) -> dict[str, Any]:
    """Return the content of a settings file.

    :param store: ``ip:port`` of the store.
    :param changes: Top-level fields to replace.
    """
    body: dict[str, Any] = {
        "node_name": "front-1",
        "ip": "127.0.0.1",
        "zone": "kgl-a",
        "zones": {"kgl-a": "kigali"},
        "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
        "internal_port_range": [7340, 7355],
        "heartbeat_ms": 1200,
        "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_min_retries": 56},
        "platform": {"address": store, "reads_per_s": 2000, "writes_per_s": 400},
    }
    return body | changes
