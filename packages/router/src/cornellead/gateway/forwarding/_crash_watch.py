"""Detection of server crashes, and of the requests that may have caused them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.stats import GatewayStats
    from cornellead.upstream import ConnectionPool

MAX_LOGGED_SUSPECTS = 8
"""Requests of one crash that are logged."""


class _Suspect:
    """A request whose connection broke before the server had survived beginning its answer."""

    def __init__(self, *, admitted: AdmittedRequest, has_head: bool, sent_at: float) -> None:
        self.admitted = admitted
        self.has_head = has_head
        self.sent_at = sent_at


class CrashWatch:
    """Finds out whether broken connections come from a crash of the server.

    A connection may also be reset by the server or on the way. After a crash, no process listens on
    the server's address any more, so a further connection is refused.
    """

    def __init__(
        self, *, pool: ConnectionPool, stats: GatewayStats, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._stats = stats
        self._clock = clock
        self._suspects: dict[str, list[_Suspect]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def record_broken(self, admitted: AdmittedRequest, attempt: Attempt) -> None:
        """Record a request whose connection the server broke off, and check the server once for all
        of its requests."""
        if attempt.stalled or attempt.answered:
            return
        server = attempt.state.entry.server
        suspects = self._suspects.get(server)
        suspect = _Suspect(admitted=admitted, has_head=attempt.has_head, sent_at=attempt.sent_at)
        if suspects is not None:
            suspects.append(suspect)
            return
        self._suspects[server] = [suspect]
        check = asyncio.create_task(self._check(server, attempt.state.entry.address))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, server: str, address: str) -> None:
        broken_at = self._clock()
        probe = await self._pool.probe(address)
        suspects = self._suspects.pop(server)
        crashed = isinstance(probe, Failure)
        self._stats.count_view_change("server_crashed" if crashed else "connection_reset")
        log = structlog.get_logger()
        log.info(
            "server crashed" if crashed else "connections reset",
            server=server,
            suspects=len(suspects),
            checked_ms=round((self._clock() - broken_at) * 1000),
        )
        for suspect in suspects[:MAX_LOGGED_SUSPECTS] if crashed else ():
            log.info(
                "request at crash",
                server=server,
                request=suspect.admitted.caller.request_id,
                parts=[part.part for part in suspect.admitted.caller.prompt[:-1]],
                head=suspect.has_head,
                age_ms=round((broken_at - suspect.sent_at) * 1000),
            )
