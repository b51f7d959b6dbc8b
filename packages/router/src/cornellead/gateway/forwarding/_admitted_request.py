"""Result of admission: an admitted request, or the response that refuses it."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import RequestAttempts
from cornellead_core.routing import CallerHeaders
from cornellead_core.routing import Route
from cornellead_core.routing import Service


class AdmittedRequest(NamedTuple):
    """An admitted request with its route, its service and the limits that apply to it."""

    req: CallerRequest
    caller: CallerHeaders
    route: Route
    service: Service
    team: str
    urgency: int
    """0 is the most urgent."""
    regions: frozenset[str]
    """Regions whose servers may run the request; empty allows all."""
    affinity: str
    """Key of the prompt prefix that the request shares with others; empty without one."""
    shared_tokens: int
    """Length of the shared prompt prefix in tokens."""
    parts: tuple[str, ...]
    """Keys of the prompt's parts without the last one, which belongs to this request."""
    attempts: RequestAttempts
    config_version: int


class RefusalResponse(NamedTuple):
    """Response without a body that refuses a request, and its cause for log and metrics."""

    status: int
    cause: str
    retry_after_s: float | None = None
    note: str = ""
    """Input that decided, for the log."""
