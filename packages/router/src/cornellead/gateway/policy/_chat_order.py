"""Interface of a function that orders the servers for a chat."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from cornellead.gateway.view import ServerState


class PlacementContext(NamedTuple):
    """Inputs to the placement of a request whose prompt prefix is shared with other requests."""

    key: str
    """Affinity key: identifies the shared prompt prefix."""
    servers: Sequence[ServerState]
    """Candidate servers."""
    loads: Mapping[str, float]
    """Estimated in-flight requests at each server of the service, by name."""
    load_factor: float
    """Upper bound on the load of a server, as a multiple of the mean load."""
    jitter: float
    """Jitter from 0 to 1, fixed for each request."""
    now: float
    """Current time in seconds."""
    weights: Mapping[str, float] = {}
    """Weight of the requests at servers on which work takes longer than usual, by name."""
    avoided: frozenset[str] = frozenset()
    """Servers with too much pending prefill or too little memory for the prompt."""


class ChatOrder(Protocol):
    """Orders model servers for a request whose prompt prefix is shared with other requests."""

    def __call__(self, placement: PlacementContext) -> list[ServerState]:
        """Return the candidate servers in order of preference, the best first."""
        ...
