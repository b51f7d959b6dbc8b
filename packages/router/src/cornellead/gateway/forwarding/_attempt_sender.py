"""Sends requests to servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead.gateway.forwarding._attempt import Attempt
from cornellead.upstream import EchoedHeader
from cornellead_core.routing import ForwardTarget
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import ServerState
    from cornellead.gateway.forwarding._job import Job
    from cornellead.upstream import ConnectionPool
    from cornellead_core.routing import WireFormat

ONCE_MAX_IDLE_S = 0.5
"""Idle time up to which a connection carries a request that must not be repeated: a server that
closes an idle connection at that moment would leave the outcome unknown."""
REPEATABLE_MAX_IDLE_S = 3.0
"""Idle time up to which a connection carries a request that may be repeated."""
SAFE_PATIENCE_FACTOR = 2.0
"""Multiple of the latency target after which a safe call is tried elsewhere."""
WATCH_INTERVAL_S = 0.05
"""Interval at which attempts are checked for silence."""
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


class AttemptSender:
    """Opens attempts and gives up on silent ones."""

    def __init__(
        self, *, pool: ConnectionPool, wire: WireFormat, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._wire = wire
        self._clock = clock
        self._open: set[Attempt] = set()

    async def send(
        self, job: Job, state: ServerState, *, source: ServerState | None, last_event: str
    ) -> Attempt | None:
        """Send a request.

        :param source: Server from which the prompt is fetched, if any.
        :param last_event: Id of the last event that the caller has, when a stream is resumed.
        :returns: ``None`` if no connection could be opened, so that nothing was sent.
        """
        now = self._clock()
        target = ForwardTarget(
            server=state.entry.server,
            team=job.team,
            urgency=job.urgency,
            time_left_s=job.rights.time_left_s(now=now),
            last_event=last_event,
            prompt_source="" if source is None else source.entry.address,
        )
        repeatable = job.route.repeatable
        result = await self._pool.send(
            state.entry.address,
            self._encode(job, target),
            job.req.body,
            max_idle_s=REPEATABLE_MAX_IDLE_S if repeatable else ONCE_MAX_IDLE_S,
            expect=EchoedHeader(self._wire.request_id_header, job.caller.request_id),
        )
        if isinstance(result, Failure):
            state.health.count_connect_failure(now=self._clock())
            return None
        safe = job.route.kind is RequestKind.SAFE
        attempt = Attempt(
            state=state,
            exchange=result.unwrap(),
            now=self._clock(),
            first_byte_patience_s=(
                SAFE_PATIENCE_FACTOR * job.route.target_latency_s if safe else None
            ),
            may_move=repeatable and job.rights.may_send(now=now),
            urgency=job.urgency,
        )
        self._open.add(attempt)
        return attempt

    def finish(self, attempt: Attempt) -> None:
        """End an attempt."""
        self._open.discard(attempt)
        attempt.end()

    def check_silence(self) -> None:
        """Give up on attempts at silent servers that may run elsewhere."""
        now = self._clock()
        for attempt in list(self._open):
            attempt.check(now=now)

    def _encode(self, job: Job, target: ForwardTarget) -> bytes:
        req = job.req
        lines = b"%b %b HTTP/1.1\r\n" % (req.method, req.target)
        lines += self._wire.encode_forward(job.caller, target)
        if req.body or req.method in METHODS_WITH_BODY:
            lines += b"Content-Length: %d\r\n" % len(req.body)
        return lines + b"\r\n"
