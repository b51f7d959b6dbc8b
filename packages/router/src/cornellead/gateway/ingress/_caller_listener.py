"""Listener for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.gateway.ingress._caller_connection import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress._caller_connection import RequestHandler
    from cornellead.gateway.ingress._serving_phase import Serving
    from cornellead_core.routing import CallerLimits

BACKLOG = 1024
"""Connections that wait to be accepted: a full queue costs callers a second."""


class CallerListener:
    """Accepts connections on one address.

    :param limits: Returns the limits in force when a connection is accepted.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: RequestHandler,
        serving: Serving,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._handler = handler
        self._serving = serving
        self._limits = limits
        self._clock = clock
        self._conns: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, int(port), backlog=BACKLOG)

    def stop_accepting(self) -> None:
        """Accept no more connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in list(self._conns):
            conn.close_idle()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    def _accept(self) -> CallerConnection:
        conn = CallerConnection(
            handler=self._handler,
            serving=self._serving,
            limits=self._limits(),
            clock=self._clock,
            on_closed=self._conns.discard,
        )
        self._conns.add(conn)
        return conn
