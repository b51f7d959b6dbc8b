"""Resolved configuration, in which templates and references are replaced by their values."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cornellead_core.load import DEFAULT_BOUND


class Priority(StrEnum):
    """Priority of a request; interactive requests are served before batch requests."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class ServicePolicy(NamedTuple):
    """Operations of a non-model service that a team may call, by their retry semantics."""

    idempotent: frozenset[str] = frozenset()
    at_most_once: frozenset[str] = frozenset()


class TeamPolicy(NamedTuple):
    """Permissions and limits of a team's requests."""

    name: str
    models: frozenset[str]
    token_digests: frozenset[str]
    """SHA-256 digest of each bearer token, in hexadecimal."""
    default_priority: Priority
    allowed_priorities: frozenset[Priority]
    requests_per_s: float
    concurrent_requests: int
    load_bound: float
    services: Mapping[str, ServicePolicy]
    key_validity_s: float


class ServerConfig(NamedTuple):
    """Desired state of a server."""

    draining: bool = False
    models: tuple[str, ...] | None = None
    """Models to load; ``None`` keeps those of the host list."""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class FleetConfig(NamedTuple):
    """Resolved configuration at an offset of the configuration log."""

    offset: int
    """Offset of the last applied record; -1 if there is none."""
    teams: Mapping[str, TeamPolicy]
    teams_by_token: Mapping[str, TeamPolicy]
    """Teams by the SHA-256 digest of a bearer token, in hexadecimal."""
    out_of_service: frozenset[str]
    """Data centres that an operator has put out of service."""
    servers: Mapping[str, ServerConfig]
    models: frozenset[str]

    @property
    def load_bound(self) -> float:
        """Lowest load bound of all teams; it applies to every engine."""
        return min((team.load_bound for team in self.teams.values()), default=DEFAULT_BOUND)

    def authenticate(self, token: str) -> TeamPolicy | None:
        """Return the team that a bearer token belongs to, or ``None`` if it is unknown."""
        return self.teams_by_token.get(hashlib.sha256(token.encode()).hexdigest())


EMPTY_CONFIG = FleetConfig(
    offset=-1,
    teams={},
    teams_by_token={},
    out_of_service=frozenset(),
    servers={},
    models=frozenset(),
)
