"""Rate limit that a server names in its responses."""

from __future__ import annotations

from typing import NamedTuple


class ServerRateLimit(NamedTuple):
    """What is known about the rate limit of a server."""

    per_s: float | None
    """Requests per second that the server accepts from all routers together; ``None`` if it has
    lifted its limit."""
    at: float
    """Time of the response that told it, in seconds."""
    source: str
    """Router that received the response."""
