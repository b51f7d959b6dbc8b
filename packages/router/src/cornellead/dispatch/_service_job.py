"""Service call and its response inside the router."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cornellead.dispatch._agent_request import AgentRequest
from cornellead_core.config import Priority
from cornellead_core.config import TeamPolicy


class ServiceJob(NamedTuple):
    """An authenticated service call that the team's policy allows."""

    request: AgentRequest
    service: str
    key: str | None
    """Idempotency key."""
    at_most_once: bool
    team: TeamPolicy
    priority: Priority


class ServiceResponse(NamedTuple):
    """Complete response from the service or its agent, to be forwarded to the caller."""

    status: int
    headers: Mapping[str, str]
    body: bytes
