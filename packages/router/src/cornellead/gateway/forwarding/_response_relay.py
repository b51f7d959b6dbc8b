"""Relay of responses from servers to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import ErrorResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse
from cornellead.gateway.forwarding._reply_recorder import ReplyRecorder
from cornellead.gateway.forwarding._response_end_check import ResponseEndCheck
from cornellead.upstream import ResponseHead
from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.pacing import ArrivalTimeout
from cornellead_core.routing import RequestKind
from cornellead_core.routing import ServerReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._event_splitter import EventSplitter
    from cornellead.gateway.forwarding._outcome import AttemptOutcome
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import RateLimits
    from cornellead.gateway.view import ServerRegistry
    from cornellead.upstream import ConnectionPool
    from cornellead.upstream import Exchange
    from cornellead_core.routing import WireFormat

MAX_RESPONSE_BYTES = 16 << 20
"""Maximum size of a response that is buffered in memory."""
REFUSAL_BODY_TIMEOUT_S = 0.05
"""Maximum time for the body of a refusal, which is read only to reuse the connection."""
MAX_REFUSAL_BYTES = 64 << 10
"""Maximum size of the body of a refusal; a larger one closes the connection."""
MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event, which is buffered until it is complete."""
OK = 200
MISDIRECTED = 421
"""Status of a response by another server, which has taken over the address."""
SERVER_ERROR = 500
CONTENT_ENCODING = "content-encoding"
EVENT_STREAM = "text/event-stream"


class _AcceptedHead(NamedTuple):
    """Head of a response of the intended server to this request."""

    head: ResponseHead
    reply: ServerReply


class ResponseRelay:
    """Checks that responses come from the intended server, and writes them to the caller."""

    def __init__(
        self,
        *,
        wire: WireFormat,
        rate_limits: RateLimits,
        servers: ServerRegistry,
        pool: ConnectionPool,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._wire = wire
        self._ends = ResponseEndCheck(pool=pool, servers=servers, stats=stats, clock=clock)
        self._recorder = ReplyRecorder(rate_limits=rate_limits, stats=stats, clock=clock)
        self._clock = clock

    async def relay(
        self,
        admitted: AdmittedRequest,
        attempt: Attempt,
        events: EventSplitter,
        out: ResponseWriter,
    ) -> AttemptOutcome:
        """Read the response of an attempt and write it to the caller, unless it may be retried."""
        accepted = await self._receive_head(admitted, attempt)
        if not isinstance(accepted, _AcceptedHead):
            return accepted
        head, reply = accepted
        self._ends.watch(admitted, attempt)
        streaming = admitted.route.kind is RequestKind.STREAMING and head.status == OK
        if streaming and _may_be_event_stream(head):
            return await self._relay_stream(attempt, events, head.status, reply, out)
        body = await self._read_body(attempt)
        if body is None:
            return _broken(attempt, "truncated")
        end = await self._ends.wait(attempt)
        if end is ResponseEnd.CUT:
            return _broken_by_end(attempt)
        final = head.status < SERVER_ERROR and admitted.attempts.may_pass_on(head.status)
        if not final or out.started:
            return ErrorResponse(head.status, reply.forwarded, body)
        out.respond(head.status, _headers_of_response(admitted, head, reply), body)
        return DeliveredResponse(head.status, end)

    async def read_failure(
        self, admitted: AdmittedRequest, attempt: Attempt
    ) -> NotRunResponse | BrokenResponse:
        """Record what the response of a failed attempt tells, without writing to the caller."""
        accepted = await self._receive_head(admitted, attempt)
        if isinstance(accepted, _AcceptedHead):
            return _broken(attempt, "broke_off_in_overlap")
        return accepted

    def is_answer(self, admitted: AdmittedRequest, head: ResponseHead) -> bool:
        """Return whether a response shows that its server has taken the request."""
        reply = self._wire.decode_reply(head.status, head.raw)
        return not _is_refusal(admitted, reply) and _is_answer(admitted, head, reply)

    async def _receive_head(
        self, admitted: AdmittedRequest, attempt: Attempt
    ) -> _AcceptedHead | NotRunResponse | BrokenResponse:
        head = await attempt.exchange.head()
        if head is None:
            return _broken(attempt, "no_response")
        attempt.record_data(now=self._clock())
        reply = self._wire.decode_reply(head.status, head.raw)
        refused = _is_refusal(admitted, reply)
        own = head.status != MISDIRECTED and (refused or _is_for(admitted, reply))
        self._recorder.record(attempt.state, reply, own=own)
        if refused:
            await _skip_refusal_body(attempt.exchange)
            return NotRunResponse(head.status)
        if not _is_answer(admitted, head, reply):
            return BrokenResponse("not_the_servers_response")
        if head.status == OK:
            attempt.record_head()
        return _AcceptedHead(head, reply)

    async def _read_body(self, attempt: Attempt) -> bytes | None:
        """Read the whole body, unless it or all responses that are being read become too large."""

        def record_progress(size: int) -> None:
            now = self._clock()
            attempt.record_data(now=now)
            attempt.record_buffered(size, now=now)

        return await attempt.exchange.read_all(
            limit=MAX_RESPONSE_BYTES, on_progress=record_progress
        )

    async def _relay_stream(
        self,
        attempt: Attempt,
        events: EventSplitter,
        status: int,
        reply: ServerReply,
        out: ResponseWriter,
    ) -> AttemptOutcome:
        first_data_at: float | None = None
        end: ResponseEnd | None = None
        while True:
            data = await attempt.exchange.read(keep=True)
            if data is None:
                return _broken(attempt, "stream_broken")
            if data:
                now = self._clock()
                first_data_at = now if first_data_at is None else first_data_at
                attempt.record_data(now=now)
                complete = events.feed(data)
                if events.progressed:
                    attempt.record_progress(buffered_bytes=len(events.tail), now=now)
                attempt.record_buffered(len(events.tail), now=now)
            elif events.tail:
                attempt.ended_early = True
                return BrokenResponse("ended_inside_event")
            else:
                end = await self._ends.wait(attempt)
                if end is ResponseEnd.CUT:
                    return _broken_by_end(attempt)
                complete = b""
            # The head is written with the first event: until then, another server can be tried.
            if not out.started and (complete or not data):
                out.begin(status, reply.forwarded)
            if complete and data:
                attempt.record_event(now=self._clock())
            if complete:
                await self._write(attempt, complete, out)
            attempt.exchange.hold(len(events.tail))
            if events.has_gap:
                return BrokenResponse("events_missing")
            if len(events.tail) > MAX_EVENT_BYTES:
                return BrokenResponse("event_too_large")
            if not data:
                if first_data_at is not None:
                    attempt.state.health.record_stream_duration(self._clock() - first_data_at)
                out.end()
                return DeliveredResponse(status, end)

    async def _write(self, attempt: Attempt, data: bytes, out: ResponseWriter) -> None:
        """Write events; what a slow caller does not read is held in its connection.

        Events that count as delivered cannot be asked for again, so the caller is cut off if they
        have to be given up.
        """
        exchange = attempt.exchange
        attempt.blocked_on_caller = True
        exchange.on_dropped = out.abort
        exchange.hold(len(data))
        await out.write(data)
        exchange.on_dropped = lambda: None
        attempt.blocked_on_caller = False


def _broken(attempt: Attempt, cause: str) -> BrokenResponse:
    if attempt.exchange.dropped:
        return BrokenResponse("buffers_full")
    return BrokenResponse(cause if attempt.stall is None else "gave_up_silent")


def _broken_by_end(attempt: Attempt) -> BrokenResponse:
    attempt.ended_early = True
    return BrokenResponse("server_ended")


def _is_for(admitted: AdmittedRequest, reply: ServerReply) -> bool:
    return reply.request_id == admitted.caller.request_id


def _is_refusal(admitted: AdmittedRequest, reply: ServerReply) -> bool:
    # A refusal without an id is believed: the connection is new and has carried nothing else.
    return reply.not_run and (_is_for(admitted, reply) or not reply.request_id)


def _is_answer(admitted: AdmittedRequest, head: ResponseHead, reply: ServerReply) -> bool:
    return _is_for(admitted, reply) and reply.sealed and CONTENT_ENCODING not in head.headers


def _may_be_event_stream(head: ResponseHead) -> bool:
    content_type = head.headers.get("content-type", EVENT_STREAM)
    return content_type.strip().lower().startswith(EVENT_STREAM)


def _headers_of_response(
    admitted: AdmittedRequest, head: ResponseHead, reply: ServerReply
) -> Sequence[tuple[bytes, bytes]]:
    """Return the headers for the caller, with the length that the answer to HEAD announces."""
    length = head.headers.get("content-length")
    if admitted.req.method != b"HEAD" or length is None:
        return reply.forwarded
    return (*reply.forwarded, (b"Content-Length", length.encode("latin-1")))


async def _skip_refusal_body(exchange: Exchange) -> None:
    try:
        async with ArrivalTimeout(delay_s=REFUSAL_BODY_TIMEOUT_S):
            await exchange.read_all(limit=MAX_REFUSAL_BYTES)
    except TimeoutError:
        # The cancelled read has closed the connection.
        return
