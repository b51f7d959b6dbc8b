"""A service call as the agent receives it."""

from __future__ import annotations

from typing import NamedTuple


class ServiceRequest(NamedTuple):
    """One call of an operation of the service beside the agent."""

    operation: str
    team: str
    key: str | None
    """Idempotency key."""
    key_time_s: float | None
    """When the caller made the key, Unix seconds by the caller's clock."""
    body: bytes
    content_type: str
    deadline_s: float
    """Remaining time in seconds."""
    request_id: str
    at_most_once: bool
