"""Pool of connections to agents and servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.upstream._connection import Connection

if TYPE_CHECKING:
    from cornellead.upstream._connection import EchoedHeader
    from cornellead.upstream._exchange import Exchange

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 3.0
"""Below the 5 s after which HTTP servers commonly close an idle connection."""
MAX_IDLE_PER_ADDRESS = 32
STATED_IDLE_SHARE = 0.6
"""Share of the idle timeout stated by a server for which its connections are used again."""
USER_TIMEOUT_MS = 3000
"""Time after which unacknowledged bytes break a connection, so that a silent host is noticed."""


class ConnectError(NamedTuple):
    """No connection could be opened; nothing was sent."""

    message: str


class ConnectionPool:
    """Opens and keeps connections, by address ``ip:port``.

    :param connect_timeout_s: Longest wait for a new connection.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self._loop = loop
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    async def send(
        self,
        address: str,
        head: bytes,
        body: bytes,
        *,
        fresh: bool = False,
        max_idle_s: float = IDLE_TIMEOUT_S,
        expect: EchoedHeader | None = None,
    ) -> Result[Exchange, ConnectError]:
        """Send a request on an idle or a new connection.

        :param fresh: Open a new connection, so that a stale one cannot leave the outcome unknown.
        :param max_idle_s: Longest time for which a connection that is used again was idle.
        :param expect: Header that tells the response from late ones to earlier requests.
        """
        conn = None if fresh else self._take(address, max_idle_s)
        if conn is not None:
            self.reused += 1
            return Success(conn.send(head, body, expect=expect))
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, conn = await self._loop.create_connection(
                    lambda: Connection(
                        loop=self._loop, release=lambda conn: self._put(address, conn)
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as exc:
            return Failure(ConnectError(f"no connection to {address}: {exc!r}"))
        conn.limit_silence(USER_TIMEOUT_MS)
        self.opened += 1
        return Success(conn.send(head, body, expect=expect))

    def close_idle(self, *, now: float) -> None:
        """Close connections that were idle for too long.

        :param now: Loop time in seconds.
        """
        for address, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                if conn.closed:
                    continue
                if now - conn.idle_since < _longest_idle(conn, IDLE_TIMEOUT_S):
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

    def discard(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def _take(self, address: str, max_idle_s: float) -> Connection | None:
        conns = self._idle.get(address, [])
        while conns:
            # The one that was used last; if it is too old, so are the others.
            conn = conns[-1]
            idle_s = self._loop.time() - conn.idle_since
            if not conn.closed and idle_s < _longest_idle(conn, IDLE_TIMEOUT_S):
                return conns.pop() if idle_s < max_idle_s else None
            conns.pop()
            conn.close()
        return None

    def _put(self, address: str, conn: Connection) -> None:
        conns = self._idle.setdefault(address, [])
        if len(conns) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.idle_since = self._loop.time()
        conns.append(conn)


def _longest_idle(conn: Connection, longest_s: float) -> float:
    if conn.stated_idle_s is None:
        return longest_s
    return min(longest_s, STATED_IDLE_SHARE * conn.stated_idle_s)
