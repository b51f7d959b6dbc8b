"""Listening socket and open connections of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.gateway import BACKLOG
from cornellead.gateway.ingress._caller_connection import FIRST_REFUSAL_STATUS
from cornellead.gateway.ingress._caller_connection import CallerConnection
from cornellead_core.buffers import BufferBudget
from cornellead_core.connections import ACCEPTS_PER_TURN
from cornellead_core.connections import DEFAULT_MAX_CONNECTIONS
from cornellead_core.connections import OpenConnections
from cornellead_core.connections import lengthen_accept_queue
from cornellead_core.connections import make_bounds
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cornellead.gateway.ingress._request_handler import RequestHandler
    from cornellead.gateway.ingress._serving_state import ServingState
    from cornellead_core.connections import ConnectionBounds
    from cornellead_core.routing import CallerLimits


class CallerListener:
    """Accepts connections on one address and keeps their number bounded.

    :param limits: Returns the limits in force.
    :param max_connections: Number of connections at which a new one evicts the oldest idle one.
    :param bounds: All bounds on connections, instead of the number alone.
    :param sock: Socket that already listens on the address, if any.
    :param pacer: Shares the reads of the process among peers; ``None`` for callers alone.
    :param budget: Bounds what the process holds for callers; ``None`` for these callers alone.
    :param paced_status: Lowest status of responses whose number is paced for each address.
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
        bounds: ConnectionBounds | None = None,
        budget: BufferBudget | None = None,
        paced_status: int = FIRST_REFUSAL_STATUS,
    ) -> None:
        self._address = address
        self._handler = handler
        self._serving = serving
        self._limits = limits
        self._clock = clock
        self._bounds = make_bounds(max_connections) if bounds is None else bounds
        self._sock = sock
        self._pacer = pacer
        self._budget = BufferBudget() if budget is None else budget
        self._paced_status = paced_status
        self._conns: OpenConnections[CallerConnection] = OpenConnections(bounds=self._bounds)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections.

        :raises OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        if self._sock is not None:
            server = await loop.create_server(
                self._accept, sock=self._sock, backlog=ACCEPTS_PER_TURN
            )
        else:
            host, _, port = self._address.rpartition(":")
            server = await loop.create_server(
                self._accept, host, int(port), backlog=ACCEPTS_PER_TURN
            )
        self._server = server
        lengthen_accept_queue(server, BACKLOG)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress or partly received."""
        for conn in self._conns:
            conn.close_idle()

    def finish(self) -> int:
        """Stop accepting, and close the connections on which nothing is in progress.

        :returns: Number of connections that are still open.
        """
        self.stop_accepting()
        for conn in self._conns:
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

    @property
    def refused_connections(self) -> int:
        """Number of connections that were closed at once, since a bound was reached."""
        return self._conns.refused

    def _accept(self) -> CallerConnection:
        if self._pacer is None:
            self._pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
        conn = CallerConnection(
            handler=self._handler,
            serving=self._serving,
            limits=self._limits,
            clock=self._clock,
            on_closed=self._conns.remove,
            pacer=self._pacer,
            budget=self._budget,
            unread_timeout_s=self._bounds.unread_timeout_s,
            paced_status=self._paced_status,
            on_opened=self._conns.count_address,
        )
        self._conns.add(conn)
        return conn
