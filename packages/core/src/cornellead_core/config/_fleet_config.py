"""The configuration in force, with templates and references resolved."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cornellead_core.load import DEFAULT_BOUND


class Priority(StrEnum):
    """Class of a request; interactive requests are served first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class ServicePolicy(NamedTuple):
    """Which operations of a plain service a team may call."""

    idempotent: frozenset[str] = frozenset()
    at_most_once: frozenset[str] = frozenset()


class TeamPolicy(NamedTuple):
    """What the traffic of one team may use."""

    name: str
    models: frozenset[str]
    token_digests: frozenset[str]
    """SHA-256 of each bearer token, in hexadecimal."""
    default_priority: Priority
    allowed_priorities: frozenset[Priority]
    requests_per_s: float
    concurrent_requests: int
    load_bound: float
    services: Mapping[str, ServicePolicy]
    key_validity_s: float


class ServerConfig(NamedTuple):
    """Desired state of one server."""

    draining: bool = False
    models: tuple[str, ...] | None = None
    """Models to load, or ``None`` to leave them as the host list says."""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class FleetConfig(NamedTuple):
    """Configuration in force at one offset."""

    offset: int
    """Offset of the last applied record, -1 before any."""
    teams: Mapping[str, TeamPolicy]
    teams_by_token: Mapping[str, TeamPolicy]
    """Key: SHA-256 of the bearer token, in hexadecimal."""
    out_of_service: frozenset[str]
    """Data centres taken out."""
    servers: Mapping[str, ServerConfig]
    models: frozenset[str]

    @property
    def load_bound(self) -> float:
        """The strictest bound of any team holds for every engine."""
        return min((team.load_bound for team in self.teams.values()), default=DEFAULT_BOUND)

    def authenticate(self, token: str) -> TeamPolicy | None:
        """Return the team that a bearer token names."""
        return self.teams_by_token.get(hashlib.sha256(token.encode()).hexdigest())


EMPTY_CONFIG = FleetConfig(
    offset=-1,
    teams={},
    teams_by_token={},
    out_of_service=frozenset(),
    servers={},
    models=frozenset(),
)
