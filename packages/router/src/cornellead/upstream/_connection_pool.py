"""Pool of HTTP/1.1 connections to agents and servers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.upstream._connection import Connection
from cornellead_core.buffers import BufferBudget
from cornellead_core.close_delimited import check_listener
from cornellead_core.pacing import ArrivalTimeout
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    import asyncio

    from cornellead.upstream._connection import EchoedHeader
    from cornellead.upstream._exchange import Exchange
    from cornellead_core.close_delimited import ListenerState

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 3.0
"""Shorter than the 5 s after which HTTP servers commonly close an idle connection."""
MAX_IDLE_PER_ADDRESS = 32
KEEP_ALIVE_FRACTION = 0.6
"""Fraction of a server's announced keep-alive timeout for which an idle connection is reused."""
TCP_USER_TIMEOUT_MS = 3000
"""Time after which the kernel closes a connection with unacknowledged bytes, to detect hosts that
stopped responding."""


class ConnectError(NamedTuple):
    """No connection could be opened, so nothing was sent."""

    message: str


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse, by address ``ip:port``.

    :param connect_timeout_s: Maximum time for opening a connection.
    :param budget: Bounds what all responses hold together.
    :param pacer: Shares the reads of the process among peers.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        budget: BufferBudget | None = None,
        pacer: ReadPacer | None = None,
    ) -> None:
        self._loop = loop
        self._connect_timeout_s = connect_timeout_s
        self.budget = BufferBudget() if budget is None else budget
        self._pacer = ReadPacer(call_soon=loop.call_soon) if pacer is None else pacer
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
        reserved: Connection | None = None,
        max_idle_s: float = IDLE_TIMEOUT_S,
        expect: EchoedHeader | None = None,
        essential: bool = False,
        service: str = "",
    ) -> Result[Exchange, ConnectError]:
        """Send a request on an idle connection, or on a new one if there is none.

        :param address: ``ip:port``.
        :param head: Request line and headers, including the empty line at the end.
        :param fresh: Always open a new connection. The server may close an idle connection while
            the request is in transit, and then it is unknown whether the request ran.
        :param reserved: Connection of `reserve` that is used unless it has closed.
        :param max_idle_s: Maximum idle time of a connection that is reused.
        :param expect: Header that distinguishes the response from late responses to earlier
            requests on the connection. A connection on which a request with the same value was
            unsuccessful is not reused for it.
        :param essential: Whether the response is kept even if all responses hold too much.
        :param service: Service of the server, which shares what all responses may hold.
        """
        send = partial(
            Connection.send,
            head=head,
            body=body,
            expect=expect,
            essential=essential,
            service=service,
        )
        if reserved is not None and not reserved.closed:
            return Success(send(reserved))
        conn = None if fresh else self._pop_idle(address, max_idle_s, expect)
        if conn is not None:
            self.reused += 1
            return Success(send(conn))
        opened = await self._open(address)
        return opened.map(send)

    async def reserve(self, address: str) -> Result[Connection, ConnectError]:
        """Open a connection for one request; the holder passes it to `send` or releases it."""
        return await self._open(address)

    async def check_listener(self, address: str, *, timeout_s: float) -> ListenerState:
        """Find out whether a process still listens, and keep the connection as an idle one.

        :param timeout_s: Maximum time of the check, in seconds.
        """
        return await check_listener(partial(self._connect, address), timeout_s=timeout_s)

    def close_idle(self, *, now: float) -> None:
        """Close connections whose idle timeout has passed.

        :param now: Event loop time in seconds.
        """
        for address, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                if conn.closed:
                    continue
                if now - conn.idle_since < _idle_timeout_s(conn, IDLE_TIMEOUT_S):
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

    async def _open(self, address: str) -> Result[Connection, ConnectError]:
        try:
            async with ArrivalTimeout(delay_s=self._connect_timeout_s):
                return Success(await self._connect(address))
        except (OSError, OverflowError, TimeoutError, ValueError) as exc:
            return Failure(ConnectError(f"no connection to {address}: {exc!r}"))

    async def _connect(self, address: str) -> Connection:
        """Open a connection.

        :raises OSError: It failed.
        :raises OverflowError: The port is out of range.
        :raises ValueError: The address has no port.
        """
        host, _, port = address.rpartition(":")
        _, conn = await self._loop.create_connection(
            lambda: Connection(
                loop=self._loop,
                release=lambda conn: self._add_idle(address, conn),
                pacer=self._pacer,
                address=address,
                budget=self.budget,
            ),
            host,
            int(port),
        )
        conn.set_user_timeout(TCP_USER_TIMEOUT_MS)
        self.opened += 1
        return conn

    def _pop_idle(
        self, address: str, max_idle_s: float, expect: EchoedHeader | None
    ) -> Connection | None:
        conns, skipped = self._idle.get(address, []), []
        found = None
        while conns and found is None:
            # The last one has the shortest idle time; if it is too old, so are the others.
            conn = conns.pop()
            idle_s = self._loop.time() - conn.idle_since
            expired = conn.closed or idle_s >= _idle_timeout_s(conn, IDLE_TIMEOUT_S)
            # No response is due, and a busy process reads late that the server has closed.
            if expired or conn.has_unread_input():
                conn.close()
            elif idle_s < max_idle_s and conn.may_carry(expect):
                found = conn
            else:
                skipped.append(conn)
                if idle_s >= max_idle_s:
                    break
        conns.extend(reversed(skipped))
        return found

    def _add_idle(self, address: str, conn: Connection) -> None:
        conns = self._idle.setdefault(address, [])
        if len(conns) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.idle_since = self._loop.time()
        conns.append(conn)


def _idle_timeout_s(conn: Connection, default_s: float) -> float:
    if conn.keep_alive_timeout_s is None:
        return default_s
    return min(default_s, KEEP_ALIVE_FRACTION * conn.keep_alive_timeout_s)
