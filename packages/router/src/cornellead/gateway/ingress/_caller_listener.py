"""Listening socket and open connections of callers."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway import BACKLOG
from cornellead.gateway.ingress._caller_connection import FIRST_REFUSAL_STATUS
from cornellead.gateway.ingress._caller_connection import CallerConnection
from cornellead.gateway.ingress._connection_bounds import DEFAULT_MAX_CONNECTIONS
from cornellead.gateway.ingress._connection_bounds import make_bounds
from cornellead_core.buffers import BufferBudget
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from collections.abc import Iterable

    from cornellead.gateway.ingress._connection_bounds import ConnectionBounds
    from cornellead.gateway.ingress._request_handler import RequestHandler
    from cornellead.gateway.ingress._serving_state import ServingState
    from cornellead_core.routing import CallerLimits

ACCEPTS_PER_TURN = 16
"""Connections that are accepted in one turn of the event loop: those above the bound are closed in
the next turn only, and need descriptors until then."""


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
        self._opened: Counter[str] = Counter()
        """Number of connections of each address."""
        self.refused_connections = 0
        """Connections that were closed at once, since a bound was reached."""
        self._conns: dict[CallerConnection, None] = {}
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
        # asyncio uses one number for the queue of the kernel and for what it accepts in a turn.
        for listening in server.sockets:
            with listening.dup() as sock:
                sock.listen(BACKLOG)

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
            unread_timeout_s=self._bounds.unread_timeout_s,
            paced_status=self._paced_status,
            on_opened=self._on_connection_opened,
        )
        if len(self._conns) >= self._bounds.total and not self._evict(self._conns):
            self._refuse(conn, "all connections are in use", connections=len(self._conns))
        self._conns[conn] = None
        return conn

    def _on_connection_opened(self, conn: CallerConnection) -> None:
        address = conn.address
        self._opened[address] += 1
        if self._opened[address] <= self._bounds.per_address:
            return
        others = (other for other in self._conns if other.address == address and other is not conn)
        if not self._evict(others):
            self._refuse(
                conn,
                "all connections of an address are in use",
                address=address,
                connections=self._bounds.per_address,
            )

    def _evict(self, conns: Iterable[CallerConnection]) -> bool:
        """Close a connection that is idle, or else one whose caller does not read.

        A connection with unsent bytes is reset: a close would wait for its caller to read them, and
        keep its descriptor meanwhile.
        """
        # The connections are ordered by the time at which they were opened.
        unread: CallerConnection | None = None
        unsent: CallerConnection | None = None
        for conn in conns:
            if conn.idle and conn.settled and not conn.closing:
                conn.close_idle()
                return True
            if not conn.unsent:
                continue
            if unread is None and conn.unread:
                unread = conn
            if unsent is None and (conn.idle or conn.closing):
                unsent = conn
        unread = unread or unsent
        if unread is None:
            return False
        structlog.get_logger().warning("caller that does not read evicted", address=unread.address)
        unread.abort()
        return True

    def _refuse(self, conn: CallerConnection, reason: str, **details: object) -> None:
        structlog.get_logger().warning(reason, **details)
        self.refused_connections += 1
        conn.abort()

    def _on_connection_closed(self, conn: CallerConnection) -> None:
        if self._conns.pop(conn, self) is not None or not conn.address:
            return
        self._opened[conn.address] -= 1
        if self._opened[conn.address] <= 0:
            del self._opened[conn.address]
