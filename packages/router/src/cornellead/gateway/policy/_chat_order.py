"""Interface of orders of servers for a chat."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from cornellead.gateway.beliefs import ServerState


class ChatPlacement(NamedTuple):
    """What decides where a request that shares its prompt with others runs."""

    key: str
    """Identity of the shared part of the prompt."""
    servers: Sequence[ServerState]
    """Servers that may be used."""
    loads: Mapping[str, float]
    """Estimated requests at each server of the service, by name."""
    load_factor: float
    """Multiple of the mean load that a server may have."""
    spread: float
    """Number from 0 to 1 that differs between requests."""
    now: float
    """Seconds."""


class ChatOrder(Protocol):
    """Orders model servers for a request that shares its prompt with others."""

    def __call__(self, placement: ChatPlacement) -> list[ServerState]:
        """Return the servers, the best first."""
        ...
