"""Request in the form in which the router sends it to agents."""

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
    """Event loop time, in seconds, at which the caller stops waiting."""
    headers: Mapping[str, str]
    """Additional headers; the values are valid HTTP field values."""
    fresh_connection: bool = False
    """Whether to open a new connection instead of reusing one from the pool."""
