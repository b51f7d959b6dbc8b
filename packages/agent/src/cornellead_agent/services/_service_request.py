"""Request of a service call."""

from __future__ import annotations

from typing import NamedTuple


class ServiceRequest(NamedTuple):
    """One call of an operation, as the agent receives it from a router."""

    operation: str
    team: str
    key: str | None
    """Idempotency key."""
    key_time_s: float | None
    """Creation time of the key, in Unix seconds by the caller's clock."""
    body: bytes
    content_type: str
    deadline_s: float
    """Time left until the deadline, in seconds."""
    request_id: str
    at_most_once: bool
    """Whether the operation is not idempotent and must be claimed before it runs."""
