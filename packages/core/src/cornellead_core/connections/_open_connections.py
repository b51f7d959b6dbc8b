"""Open connections of callers, whose number is bounded."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

import structlog

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cornellead_core.connections._connection_bounds import ConnectionBounds


class BoundedConnection(Protocol):
    """A caller's connection that can give way to a new one."""

    @property
    def address(self) -> str:
        """Address of the caller, empty until it is known."""
        ...

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        ...

    @property
    def settled(self) -> bool:
        """Whether closing the connection would cut off neither a request nor a response."""
        ...

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        ...

    @property
    def unread(self) -> bool:
        """Whether the caller leaves more unread than the high-water mark."""
        ...

    @property
    def unsent(self) -> bool:
        """Whether anything waits for the caller to read."""
        ...

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or partly received."""
        ...

    def abort(self) -> None:
        """Reset the connection."""
        ...


C = TypeVar("C", bound=BoundedConnection)


class OpenConnections(Generic[C]):
    """Holds the connections of a listener, in the order in which they were opened.

    A connection above a bound evicts another one, or is reset if none can give way.

    :param bounds: Numbers of connections, of all callers and of one address.
    """

    def __init__(self, *, bounds: ConnectionBounds) -> None:
        self._bounds = bounds
        self._conns: dict[C, None] = {}
        self._by_address: Counter[str] = Counter()
        self.refused = 0
        """Connections that were closed at once, since a bound was reached."""

    def __len__(self) -> int:
        return len(self._conns)

    def __iter__(self) -> Iterator[C]:
        return iter(list(self._conns))

    def add(self, conn: C) -> None:
        """Add a connection that was accepted, whose address may be unknown."""
        if len(self._conns) >= self._bounds.total and not self._evict(self._conns):
            self._refuse(conn, "all connections are in use", connections=len(self._conns))
        self._conns[conn] = None

    def count_address(self, conn: C) -> None:
        """Apply the bound of its address to a connection, once the address is known."""
        address = conn.address
        self._by_address[address] += 1
        if self._by_address[address] <= self._bounds.per_address:
            return
        others = (other for other in self._conns if other.address == address and other is not conn)
        if not self._evict(others):
            self._refuse(
                conn,
                "all connections of an address are in use",
                address=address,
                connections=self._bounds.per_address,
            )

    def remove(self, conn: C) -> None:
        """Remove a connection that has closed."""
        if conn not in self._conns:
            return
        del self._conns[conn]
        if not conn.address:
            return
        self._by_address[conn.address] -= 1
        if self._by_address[conn.address] <= 0:
            del self._by_address[conn.address]

    def _evict(self, conns: Iterable[C]) -> bool:
        """Close a connection that is idle, or else one whose caller does not read.

        A connection with unsent bytes is reset: a close would wait for its caller to read them, and
        keep its descriptor meanwhile.
        """
        unread: C | None = None
        unsent: C | None = None
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

    def _refuse(self, conn: C, reason: str, **details: object) -> None:
        structlog.get_logger().warning(reason, **details)
        self.refused += 1
        conn.abort()
