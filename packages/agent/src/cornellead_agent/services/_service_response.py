"""Response to a service call."""

from __future__ import annotations

from typing import NamedTuple


class ServiceResponse(NamedTuple):
    """Status, headers and body, from the server or from the agent itself."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
