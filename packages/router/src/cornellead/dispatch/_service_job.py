"""A service call on its way through the router."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cornellead.dispatch._agent_request import AgentRequest
from cornellead_core.config import Priority
from cornellead_core.config import TeamPolicy


class ServiceJob(NamedTuple):
    """A service call that passed authentication and the team's policy."""

    request: AgentRequest
    service: str
    key: str | None
    """Idempotency key."""
    at_most_once: bool
    team: TeamPolicy
    priority: Priority


class ServiceAnswer(NamedTuple):
    """A whole response of the service, or of its agent, for the caller."""

    status: int
    headers: Mapping[str, str]
    body: bytes
