"""Detection of server crashes, and of the requests that may have caused them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
import xxhash

from cornellead.gateway.quarantine import CrashReport
from cornellead_core.close_delimited import CHECK_TIMEOUT_S
from cornellead_core.close_delimited import ListenerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.quarantine import PromptGuard
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import ServerState
    from cornellead.upstream import ConnectionPool

MAX_REPORTED_SUSPECTS = 4
"""Requests of one crash that this router reports and logs, the most suspect first."""


class _Suspect(NamedTuple):
    """A request whose connection broke before the server had survived beginning its answer."""

    request_id: str
    parts: tuple[str, ...]
    has_head: bool
    sent_at: float


class CrashWatch:
    """Finds out whether broken connections come from a crash of the server, and reports the
    requests that may have caused it.

    A connection may also be reset by the server or on the way. After a crash, no process listens on
    the server's address any more.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        guard: PromptGuard,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._guard = guard
        self._stats = stats
        self._clock = clock
        self._suspects: dict[str, list[_Suspect]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def record_answer(self, admitted: AdmittedRequest) -> None:
        """Record that the server survived beginning to answer a request."""
        if admitted.parts:
            self._guard.record_answer(admitted.parts, now=self._clock())

    def record_broken(self, admitted: AdmittedRequest, attempt: Attempt) -> None:
        """Record a request whose connection the server broke off before it had begun to answer, and
        check the server once for all of its requests."""
        state = attempt.state
        suspect = _Suspect(
            admitted.caller.request_id, admitted.parts, attempt.has_head, attempt.sent_at
        )
        suspects = self._suspects.get(state.entry.server)
        if suspects is not None:
            suspects.append(suspect)
            return
        self._suspects[state.entry.server] = [suspect]
        check = asyncio.create_task(self._check(state))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, state: ServerState) -> None:
        broken_at = self._clock()
        server = state.entry.server
        listener = await self._pool.check_listener(state.entry.address, timeout_s=CHECK_TIMEOUT_S)
        suspects = self._suspects.pop(server)
        crashed = listener is ListenerState.CLOSED
        self._stats.count_view_change("server_crashed" if crashed else "connection_reset")
        log = structlog.get_logger()
        log.info(
            "server crashed" if crashed else "connections reset",
            server=server,
            suspects=len(suspects),
            checked_ms=round((self._clock() - broken_at) * 1000),
        )
        if not crashed:
            return
        suspects.sort(key=self._rank_suspect)
        reports = []
        for suspect in suspects[:MAX_REPORTED_SUSPECTS]:
            log.info(
                "request at crash",
                server=server,
                request=suspect.request_id,
                parts=suspect.parts,
                head=suspect.has_head,
                age_ms=round((broken_at - suspect.sent_at) * 1000),
            )
            request = xxhash.xxh32_intdigest(f"{suspect.request_id}/{server}".encode())
            reports.append(CrashReport(request, state.name_hash, suspect.parts, broken_at))
        self._guard.record_crash(reports, now=self._clock())

    def _rank_suspect(self, suspect: _Suspect) -> tuple[bool, bool]:
        """Order suspects: first those with a part that was never answered, and among them those
        whose answer had just begun."""
        all_answered = all(self._guard.was_answered(part) for part in suspect.parts)
        return all_answered, not suspect.has_head
