"""A request as the router sends it to agents."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class AgentRequest(NamedTuple):
    """Parts of a request that are the same in every attempt."""

    request_id: str
    path: str
    body: bytes
    content_type: str
    team: str
    priority: str
    deadline: float
    """Loop time at which the caller stops waiting."""
    headers: Mapping[str, str]
    """Further headers, already valid as HTTP field values."""
    fresh_connection: bool = False
