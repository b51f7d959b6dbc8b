"""Registry of the engine connections that serve requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_agent.relay._engine_connection import EngineConnection


class ActiveConnections:
    """Lets the drain abort all requests that are still in progress after its timeout.

    The handler of an aborted request notices the closed connection and reports the outcome to its
    router.
    """

    def __init__(self) -> None:
        self._connections: dict[int, EngineConnection] = {}

    def add(self, conn: EngineConnection) -> None:
        """Register a connection."""
        self._connections[id(conn)] = conn

    def remove(self, conn: EngineConnection) -> None:
        """Remove a connection; does nothing if it is not registered."""
        self._connections.pop(id(conn), None)

    def abort_all(self) -> None:
        """Abort all connections, which wakes the requests that wait for data on them."""
        for conn in list(self._connections.values()):
            conn.abort()
