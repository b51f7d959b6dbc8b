"""Pool of connections to agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.upstream._connection import Connection

if TYPE_CHECKING:
    from cornellead.upstream._exchange import Exchange

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 3.0
"""Below the 5 s after which HTTP servers commonly close an idle connection."""
MAX_IDLE_PER_AGENT = 32


class ConnectError(NamedTuple):
    """No connection could be opened; nothing was sent."""

    message: str


class AgentPool:
    """Opens and keeps connections, by address ``ip:port``."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[str, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    async def send(
        self, address: str, head: bytes, body: bytes, *, fresh: bool = False
    ) -> Result[Exchange, ConnectError]:
        """Send a request on an idle or a new connection.

        :param fresh: Open a new connection, so that a stale one cannot leave the outcome unknown.
        """
        conn = None if fresh else self._take(address)
        if conn is not None:
            self.reused += 1
            return Success(conn.send(head, body))
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    lambda: Connection(
                        loop=self._loop, release=lambda conn: self._put(address, conn)
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as exc:
            return Failure(ConnectError(f"no connection to {address}: {exc!r}"))
        self.opened += 1
        return Success(conn.send(head, body))

    def close_idle(self, *, now: float) -> None:
        """Close connections that were idle for too long.

        :param now: Loop time in seconds.
        """
        for address, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                if conn.closed:
                    continue
                if now - conn.idle_since < IDLE_TIMEOUT_S:
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        self._idle.clear()

    def _take(self, address: str) -> Connection | None:
        conns = self._idle.get(address, [])
        while conns:
            conn = conns.pop()
            if not conn.closed and self._loop.time() - conn.idle_since < IDLE_TIMEOUT_S:
                return conn
            conn.close()
        return None

    def _put(self, address: str, conn: Connection) -> None:
        conns = self._idle.setdefault(address, [])
        if len(conns) >= MAX_IDLE_PER_AGENT:
            conn.close()
            return
        conn.idle_since = self._loop.time()
        conns.append(conn)
