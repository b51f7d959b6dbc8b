"""Settings of an agent."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.settings._process_settings import ProcessSettings


class ServerSettings(NamedTuple):
    """The server beside the agent."""

    url: str
    service: str = ""
    """Name of the plain service, or empty for a model engine."""
    capacity: int = 16
    """Requests that the server bears when warm; also its weight."""
    models: tuple[str, ...] = ()


class AgentSettings(NamedTuple):
    """Settings of an agent."""

    process: ProcessSettings
    server: ServerSettings
    cold_start_limit: int = 2
    first_token_ceiling_s: float = 0.63
    join_grace_s: float = 600.0
    key_validity_s: float = 3600.0
    """Time for which a retried idempotency key is recognised."""
