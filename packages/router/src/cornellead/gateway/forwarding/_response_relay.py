"""Passes responses of servers on to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._outcome import Answered
from cornellead.gateway.forwarding._outcome import Broken
from cornellead.gateway.forwarding._outcome import Delivered
from cornellead.gateway.forwarding._outcome import NotRun
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._event_splitter import EventSplitter
    from cornellead.gateway.forwarding._job import Job
    from cornellead.gateway.forwarding._outcome import AttemptOutcome
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead_core.routing import ServerReply
    from cornellead_core.routing import WireFormat

MAX_RESPONSE_BYTES = 16 << 20
"""Longest response that is held in memory."""
OK = 200
SERVER_ERROR = 500
CONTENT_ENCODING = "content-encoding"


class ResponseRelay:
    """Checks responses and writes those of the server to the caller."""

    def __init__(self, *, wire: WireFormat, clock: Callable[[], float]) -> None:
        self._wire = wire
        self._clock = clock

    async def relay(
        self, job: Job, attempt: Attempt, events: EventSplitter, out: ResponseWriter
    ) -> AttemptOutcome:
        """Read the response of an attempt and pass it on if it is final."""
        head = await attempt.exchange.head()
        if head is None:
            return Broken("gave_up_silent" if attempt.gave_up else "no_response")
        attempt.count_byte(now=self._clock())
        reply = self._wire.decode_reply(head.status, head.raw)
        if reply.load is not None:
            attempt.state.report_load(reply.load, now=self._clock())
        if reply.not_run:
            await attempt.exchange.read_all(limit=MAX_RESPONSE_BYTES)
            return NotRun(head.status)
        foreign = reply.request_id != job.caller.request_id
        if foreign or not reply.sealed or CONTENT_ENCODING in head.headers:
            return Broken("not_the_servers_response")
        if job.route.kind is RequestKind.STREAMING and head.status == OK:
            return await self._relay_stream(attempt, events, head.status, reply, out)
        body = await attempt.exchange.read_all(limit=MAX_RESPONSE_BYTES)
        if body is None:
            return Broken("gave_up_silent" if attempt.gave_up else "truncated")
        if head.status >= SERVER_ERROR or out.started:
            return Answered(head.status, reply.forwarded, body)
        out.respond(head.status, reply.forwarded, body)
        return Delivered(head.status)

    async def _relay_stream(
        self,
        attempt: Attempt,
        events: EventSplitter,
        status: int,
        reply: ServerReply,
        out: ResponseWriter,
    ) -> AttemptOutcome:
        started_at: float | None = None
        while True:
            data = await attempt.exchange.read()
            if data is None:
                return Broken("gave_up_silent" if attempt.gave_up else "stream_broken")
            if data:
                now = self._clock()
                started_at = now if started_at is None else started_at
                attempt.count_byte(now=now)
                whole = events.feed(data)
                if events.gap:
                    return Broken("events_missing")
            else:
                whole = events.tail
            # The head waits for the first event: until then another server may still answer.
            if not out.started and (whole or not data):
                out.begin(status, reply.forwarded)
            if whole:
                attempt.waits_for_caller = True
                await out.write(whole)
                attempt.waits_for_caller = False
            if not data:
                if started_at is not None:
                    attempt.state.health.count_hold(self._clock() - started_at)
                out.end()
                return Delivered(status)
