"""The platform's lagging list of live and leaving hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from returns.result import Result

    from cornellead_core.platform._log import PlatformError


class HostKind(StrEnum):
    """Role of the process on a host."""

    ROUTER = "router"
    AGENT = "agent"


class HostState(StrEnum):
    """State of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(NamedTuple):
    """One process of the fleet and, for an agent, the server beside it."""

    name: str
    """Router name, or server name for an agent."""
    kind: HostKind
    region: str
    dc: str
    http: str
    """``ip:port`` of the HTTP API."""
    control: str
    """``ip:port`` of the control listener."""
    state: HostState = HostState.LIVE
    service: str = ""
    """Name of the plain service, or empty for an engine."""
    models: tuple[str, ...] = ()
    capacity: float = 1.0


class HostList(Protocol):
    """Reads the list of hosts."""

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        """Return all hosts that the platform lists, live and leaving."""
        ...
