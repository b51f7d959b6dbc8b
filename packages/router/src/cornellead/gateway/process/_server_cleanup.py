"""What a router drops when a server ends, beside its state in the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState
    from cornellead.upstream import ConnectionPool


class RateLimiter(Protocol):
    """Keeps the times of the latest requests to servers."""

    def remove_server(self, server: str) -> None:
        """Remove the state of a server that has started again."""
        ...

    def remove_idle(self, *, now: float) -> None:
        """Remove the state of servers that got no request for a while."""
        ...


class ServerCleanup:
    """Drops connections, prompts and request times of servers that ended."""

    def __init__(
        self, *, view: FleetView, pool: ConnectionPool, limiters: Sequence[RateLimiter]
    ) -> None:
        self._view = view
        self._pool = pool
        self._limiters = limiters

    def remove(self, state: ServerState) -> None:
        """Drop what is kept about a server whose entry was removed or replaced.

        Only a server that has started again does so with a fresh rate.
        """
        server = state.entry.server
        self._pool.discard(state.entry.address)
        self._view.prompts.remove_server(server)
        if self._view.servers.get(server) is not None:
            for limiter in self._limiters:
                limiter.remove_server(server)

    def remove_idle(self, *, now: float) -> None:
        """Drop the times of requests that no longer limit anything.

        :param now: Seconds.
        """
        for limiter in self._limiters:
            limiter.remove_idle(now=now)
