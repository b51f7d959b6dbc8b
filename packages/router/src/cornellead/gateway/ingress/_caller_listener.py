"""Listening socket and open connections of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway import BACKLOG
from cornellead.gateway.ingress._caller_connection import CallerConnection
from cornellead_core.buffers import BufferBudget
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cornellead.gateway.ingress._caller_connection import RequestHandler
    from cornellead.gateway.ingress._serving_state import ServingState
    from cornellead_core.routing import CallerLimits

DEFAULT_MAX_CONNECTIONS = 512
"""Half of the usual descriptor limit of a process."""


class CallerListener:
    """Accepts connections on one address and keeps their number bounded.

    :param limits: Returns the limits in force.
    :param max_connections: Number of connections at which a new one evicts the oldest idle one.
    :param sock: Socket that already listens on the address, if any.
    :param pacer: Shares the reads of the process among peers; ``None`` for callers alone.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: RequestHandler,
        serving: ServingState,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        sock: socket.socket | None = None,
        pacer: ReadPacer | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._serving = serving
        self._limits = limits
        self._clock = clock
        self._max_connections = max_connections
        self._sock = sock
        self._pacer = pacer
        self._budget = BufferBudget()
        """Bounds what the unfinished requests of all callers hold together."""
        self._conns: dict[CallerConnection, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections.

        :raises OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        if self._sock is not None:
            self._server = await loop.create_server(self._accept, sock=self._sock, backlog=BACKLOG)
            return
        host, _, port = self._address.rpartition(":")
        self._server = await loop.create_server(self._accept, host, int(port), backlog=BACKLOG)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress or partly received."""
        for conn in list(self._conns):
            conn.close_idle()

    def finish(self) -> int:
        """Stop accepting, and close the connections on which nothing is in progress.

        :returns: Number of connections that are still open.
        """
        self.stop_accepting()
        for conn in list(self._conns):
            conn.finish()
        return len(self._conns)

    @property
    def unsettled(self) -> int:
        """Number of connections with a request or a response that is not complete."""
        return sum(1 for conn in self._conns if not conn.settled)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    def _accept(self) -> CallerConnection:
        if self._pacer is None:
            self._pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
        conn = CallerConnection(
            handler=self._handler,
            serving=self._serving,
            limits=self._limits,
            clock=self._clock,
            on_closed=self._on_connection_closed,
            pacer=self._pacer,
            budget=self._budget,
        )
        if len(self._conns) >= self._max_connections:
            self._evict_idle_connection()
        self._conns[conn] = None
        return conn

    def _evict_idle_connection(self) -> None:
        # The dict is ordered by the time at which the connections were opened.
        for other in self._conns:
            if other.idle:
                other.close_idle()
                return
        structlog.get_logger().warning("all connections are in use", connections=len(self._conns))

    def _on_connection_closed(self, conn: CallerConnection) -> None:
        self._conns.pop(conn, None)
