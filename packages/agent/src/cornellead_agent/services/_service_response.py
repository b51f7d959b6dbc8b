"""The answer to a service call."""

from __future__ import annotations

from typing import NamedTuple


class ServiceResponse(NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
