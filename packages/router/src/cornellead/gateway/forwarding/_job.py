"""A request that was admitted."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import RequestRights
from cornellead_core.routing import CallerHeaders
from cornellead_core.routing import Route
from cornellead_core.routing import Service


class Job(NamedTuple):
    """What has to be known of a request to serve it."""

    req: CallerRequest
    caller: CallerHeaders
    route: Route
    service: Service
    team: str
    urgency: int
    """0 is the most urgent."""
    regions: frozenset[str]
    """Regions whose servers may run it; empty for all."""
    affinity: str
    """Identity of the prompt that it shares with others; empty without one."""
    shared_tokens: int
    """Tokens of the prompt that other requests share."""
    rights: RequestRights
    config_version: int


class Rejected(NamedTuple):
    """Why a request was not admitted."""

    status: int
    cause: str
    retry_after_s: float | None = None
