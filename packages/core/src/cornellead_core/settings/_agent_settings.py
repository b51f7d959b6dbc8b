"""Settings file of an agent."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.settings._process_settings import ProcessSettings


class ServerSettings(NamedTuple):
    """The backend server that the agent runs next to."""

    url: str
    service: str = ""
    """Service that the server runs if it is not a model engine; empty for a model engine."""
    capacity: int = 16
    """Maximum concurrent requests of the warm server; also its weight in load balancing."""
    models: tuple[str, ...] = ()
    """Models of the model engine, by name."""


class AgentSettings(NamedTuple):
    """Settings of an agent and of its server."""

    process: ProcessSettings
    server: ServerSettings
    cold_start_limit: int = 2
    """Concurrent requests allowed on a cold server; the limit rises as requests succeed."""
    first_token_ceiling_s: float = 0.63
    """Time to first token up to which a request counts as a success and raises that limit."""
    join_grace_s: float = 600.0
    """Time after the start during which returning chats without a cache here are refused."""
    key_validity_s: float = 3600.0
    """Time for which a retry with the same idempotency key is recognised."""
