"""Engine connections of requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_agent.relay._engine_connection import EngineConnection


class ActiveConnections:
    """Lets the drain end what is still in progress; each request then reports its outcome."""

    def __init__(self) -> None:
        self._connections: dict[int, EngineConnection] = {}

    def add(self, conn: EngineConnection) -> None:
        """Register a connection."""
        self._connections[id(conn)] = conn

    def remove(self, conn: EngineConnection) -> None:
        """Forget a connection."""
        self._connections.pop(id(conn), None)

    def abort_all(self) -> None:
        """Break all connections, which wakes the requests that wait on them."""
        for conn in list(self._connections.values()):
            conn.abort()
