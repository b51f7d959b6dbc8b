"""Sending of requests to servers, and detection of stalled ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead.gateway.forwarding._attempt import Attempt
from cornellead.upstream import EchoedHeader
from cornellead_core.routing import ForwardTarget
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.view import ServerState
    from cornellead.upstream import Connection
    from cornellead.upstream import ConnectionPool
    from cornellead_core.routing import WireFormat

NON_REPEATABLE_MAX_IDLE_S = 0.5
"""Idle time up to which a pooled connection is reused for a request that must not be repeated: if
the server closes it at that moment, it is unknown whether the request ran."""
REPEATABLE_MAX_IDLE_S = 3.0
"""Idle time up to which a pooled connection is reused for a request that may be repeated."""
SAFE_TIMEOUT_FACTOR = 2.0
"""Multiple of the latency target after which a safe request is sent to another server."""
STALL_CHECK_INTERVAL_S = 0.05
"""Interval at which the attempts in flight are checked for a stall."""
MAX_CHECK_DELAY_S = 0.5
"""Delay of a check above which this process counts as paused: half of the shortest timeout."""
CONNECTION_PROOF_S = 0.03
"""Time for which a new connection must stay open before a request leaves its server for it: a
server that has too many connections accepts further ones and closes them at once."""
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


class AttemptSender:
    """Starts attempts at servers and checks them for a stall."""

    def __init__(
        self, *, pool: ConnectionPool, wire: WireFormat, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._wire = wire
        self._clock = clock
        self._in_flight: set[Attempt] = set()
        self._checked_at = clock()

    async def send(
        self,
        admitted: AdmittedRequest,
        state: ServerState,
        *,
        source: ServerState | None,
        last_event_id: str,
        reserved: Connection | None = None,
    ) -> Attempt | None:
        """Send a request on a pooled or a reserved connection.

        :param source: Server from which the target fetches the cached prompt, if any.
        :param last_event_id: Id of the last event that the caller has, when a stream is resumed.
        :param reserved: Connection that was opened for this request.
        :returns: ``None`` if no connection could be opened; then nothing was sent.
        """
        now = self._clock()
        target = ForwardTarget(
            server=state.entry.server,
            team=admitted.team,
            urgency=admitted.urgency,
            time_left_s=admitted.attempts.time_left_s(now=now),
            last_event=last_event_id,
            prompt_source="" if source is None else source.entry.address,
        )
        repeatable = admitted.route.repeatable
        result = await self._pool.send(
            state.entry.address,
            self._encode(admitted, target),
            admitted.req.body,
            reserved=reserved,
            max_idle_s=REPEATABLE_MAX_IDLE_S if repeatable else NON_REPEATABLE_MAX_IDLE_S,
            expect=EchoedHeader(self._wire.request_id_header, admitted.caller.request_id),
            service=state.entry.service,
        )
        if isinstance(result, Failure):
            state.health.record_connect_failure(now=self._clock())
            return None
        safe = admitted.route.kind is RequestKind.SAFE
        attempt = Attempt(
            state=state,
            exchange=result.unwrap(),
            now=self._clock(),
            first_byte_timeout_s=(
                SAFE_TIMEOUT_FACTOR * admitted.route.target_latency_s if safe else None
            ),
            can_fail_over=repeatable and admitted.attempts.may_send(now=now),
            urgency=admitted.urgency,
            last_event_id=last_event_id,
        )
        self._in_flight.add(attempt)
        return attempt

    def finish(self, attempt: Attempt) -> None:
        """Close an attempt and stop checking it."""
        self._in_flight.discard(attempt)
        attempt.close()

    async def open_connection(self, state: ServerState) -> Connection | None:
        """Open a connection for one request; ``None`` if the server refuses or closes it."""
        result = await self._pool.reserve(state.entry.address)
        connection = None if isinstance(result, Failure) else result.unwrap()
        if connection is not None:
            try:
                await asyncio.sleep(CONNECTION_PROOF_S)
            except asyncio.CancelledError:
                connection.release()
                raise
        if connection is None or connection.closed:
            state.health.record_connect_failure(now=self._clock())
            return None
        return connection

    def check_stalled_attempts(self) -> None:
        """Check the attempts in flight, and search for other servers for the stalled ones.

        After a pause of this process, received bytes are still unread and others are resent by the
        servers' hosts, so all timeouts start anew.
        """
        now = self._clock()
        paused = now - self._checked_at > STALL_CHECK_INTERVAL_S + MAX_CHECK_DELAY_S
        self._checked_at = now
        for attempt in list(self._in_flight):
            if paused:
                attempt.restart_timeouts(now=now)
            attempt.check_stall(now=now)

    def _encode(self, admitted: AdmittedRequest, target: ForwardTarget) -> bytes:
        req = admitted.req
        lines = b"%b %b HTTP/1.1\r\n" % (req.method, req.target)
        lines += self._wire.encode_forward(admitted.caller, target)
        if req.body or req.method in METHODS_WITH_BODY:
            lines += b"Content-Length: %d\r\n" % len(req.body)
        return lines + b"\r\n"
