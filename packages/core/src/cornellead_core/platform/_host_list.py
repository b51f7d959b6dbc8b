"""Interface to the platform's eventually consistent list of live and leaving hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from returns.result import Result

    from cornellead_core.platform._log_client import PlatformError


class HostKind(StrEnum):
    """Role of a listed process."""

    ROUTER = "router"
    AGENT = "agent"


class HostState(StrEnum):
    """State of a listed process."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(NamedTuple):
    """A process of the fleet and, if it is an agent, the server that it runs next to."""

    name: str
    """Name of the router, or of the agent's server."""
    kind: HostKind
    region: str
    dc: str
    """Data centre."""
    http: str
    """``ip:port`` of the HTTP API."""
    control: str
    """``ip:port`` of the control listener."""
    state: HostState = HostState.LIVE
    service: str = ""
    """Service that the server runs if it is not a model engine; empty for a model engine."""
    models: tuple[str, ...] = ()
    """Models of the model engine, by name."""
    capacity: float = 1.0
    """Weight of the server in load balancing."""


class HostList(Protocol):
    """Client of the host list, which follows changes with a delay."""

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        """Return all listed hosts, both live and leaving ones."""
        ...
