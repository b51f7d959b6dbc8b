"""Relays one admitted chat completion between router and engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead_agent.api._responses import encode_error
from cornellead_agent.api._responses import send_error
from cornellead_agent.api._responses import send_response
from cornellead_agent.facts import MOVE_STREAMS
from cornellead_agent.relay import MAX_RESPONSE_BYTES
from cornellead_agent.relay import EventAssembler
from cornellead_core import headers
from cornellead_core.outcomes import Outcome
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._relay_counters import RelayCounters
    from cornellead_agent.api._request_context import RequestContext
    from cornellead_agent.api._router_request_handler import RouterRequestHandler
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import ChatRequest
    from cornellead_agent.relay import EngineConnection
    from cornellead_agent.relay import Upstream
    from cornellead_core.blackboard import Blackboard

MAX_RESUMES = 3
"""Resumes of a broken stream without a new event in between, and connection attempts per resume."""
RESUME_RETRY_DELAY_S = 0.1
EVENT_TIMEOUT_S = 2.0
"""Time without a new event, after the first one, after which a stream is resumed. An engine that
only pauses continues it."""


class ChatRelay:
    """Forwards one request to the engine and relays the response to the router.

    A broken engine stream is resumed on the same engine. A complete stream ends with an ``end``
    comment, and a stream that must continue on another server with a ``moved`` comment. The router
    treats a stream without either as broken.
    """

    def __init__(
        self,
        *,
        request: ChatRequest,
        context: RequestContext,
        request_handler: RouterRequestHandler,
        board: Blackboard,
        chats: ChatIndex,
        cold_limit: ColdLimit,
        upstream: Upstream,
        counters: RelayCounters,
        clock: Clock,
    ) -> None:
        self._request = request
        self._context = context
        self._request_handler = request_handler
        self._board = board
        self._chats = chats
        self._cold_limit = cold_limit
        self._upstream = upstream
        self._counters = counters
        self._clock = clock
        self._conn: EngineConnection | None = None
        self._disconnected = False
        self._started_at = clock.monotonic()
        self._first_token_s: float | None = None
        self._event_deadline: float | None = None
        """Event loop time from which the stream counts as stalled; ``None`` before an event."""

    async def run(self, receive: Any, send: Any, *, stream: bool) -> None:
        """Relay until the response ends, the router disconnects or the drain timeout passes.

        Unless the engine finished the request, it is cancelled there as well.
        """
        watcher = asyncio.create_task(self._watch_disconnect(receive))
        finished = False
        try:
            finished = await (self._relay_stream(send) if stream else self._relay_response(send))
        finally:
            watcher.cancel()
            if self._conn is not None:
                self._upstream.release(self._conn)
            if not finished:
                self._counters.cancelled += self._disconnected
                await asyncio.shield(self._upstream.cancel(self._request.request_id))

    async def _watch_disconnect(self, receive: Any) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._disconnected = True
        if self._conn is not None:
            self._conn.abort()

    async def _relay_response(self, send: Any) -> bool:
        """Relay a response that is not streamed.

        :returns: Whether the request ended at the engine and needs no cancellation.
        """
        opened = await self._upstream.open(self._request, resume_from=0)
        if not isinstance(opened, Success):
            await self._send_failure(send, opened.failure().message, sent=opened.failure().sent)
            return True
        conn = self._conn = opened.unwrap()
        head = await conn.read_head()
        body = await conn.read_all(limit=MAX_RESPONSE_BYTES)
        if self._disconnected:
            return False
        if head is None or body is None:
            message = "the engine's answer ended early, or is too large"
            await self._send_failure(send, message, sent=True)
            return False
        if head.status != 200:
            await self._send_engine_error(send, head.status, body)
            return True
        cached = self._counters.count_usage(body)
        if cached is None:
            await self._send_failure(send, "the engine's answer is malformed", sent=True)
            return True
        self._record_success(None)
        fields = [
            *self._request_handler.common_headers(self._context),
            ("content-type", "application/json"),
            (headers.CACHED, str(cached)),
        ]
        await send_response(send, 200, fields, body)
        return True

    async def _relay_stream(self, send: Any) -> bool:
        """Relay an event stream; the return value is that of `_relay_response`."""
        assembler = EventAssembler(delivered=self._context.delivered_events)
        opened = await self._upstream.open(self._request, resume_from=assembler.resume_from)
        if not isinstance(opened, Success):
            await self._send_failure(send, opened.failure().message, sent=opened.failure().sent)
            return True
        conn = self._conn = opened.unwrap()
        status = await self._upstream.read_status(conn)
        if self._disconnected:
            return False
        if not isinstance(status, Success):
            await self._send_failure(send, status.failure().message, sent=True)
            return False
        if status.unwrap() != 200:
            content = await conn.read()
            await self._send_engine_error(send, status.unwrap(), content)
            return True
        await self._send_stream_head(send)
        return await self._relay_events(assembler, send)

    async def _relay_events(self, assembler: EventAssembler, send: Any) -> bool:
        failures = 0
        loop = asyncio.get_running_loop()
        while not assembler.complete:
            assert self._conn is not None
            data = await self._read_until_stalled()
            if self._disconnected:
                return False
            events = assembler.feed(data) if data else b""
            self._conn.hold(assembler.buffered_bytes)
            if self._conn.complete:
                assembler.end_response()
            if events:
                failures = 0
                if self._first_token_s is None:
                    self._first_token_s = self._clock.monotonic() - self._started_at
                await send({"type": "http.response.body", "body": events, "more_body": True})
                self._event_deadline = loop.time() + EVENT_TIMEOUT_S
            if self._board.read(MOVE_STREAMS):
                await self._send_end_comment(send, b"moved", assembler.delivered)
                self._counters.moved += 1
                return False
            if assembler.complete or (data and not assembler.overflowed):
                continue
            failures += 1
            if failures > MAX_RESUMES or not await self._resume(assembler):
                # Without an end comment the router treats the stream as incomplete.
                self._cold_limit.record_error()
                self._counters.engine_errors += 1
                await send({"type": "http.response.body", "body": b"", "more_body": False})
                return False
        self._counters.duplicates += assembler.duplicates
        self._record_stream(assembler)
        await self._send_end_comment(send, b"end", assembler.delivered)
        return True

    async def _read_until_stalled(self) -> bytes:
        """Return data of the engine, or nothing if the connection ended or the stream stalled."""
        assert self._conn is not None
        if self._event_deadline is None:
            return await self._conn.read()
        delay_s = self._event_deadline - asyncio.get_running_loop().time()
        try:
            async with ArrivalTimeout(delay_s=delay_s):
                return await self._conn.read()
        except TimeoutError:
            self._conn.abort()
            return b""

    async def _resume(self, assembler: EventAssembler) -> bool:
        assert self._conn is not None
        self._upstream.release(self._conn)
        assembler.reset()
        self._counters.resumes += 1
        if self._event_deadline is not None:
            self._event_deadline = asyncio.get_running_loop().time() + EVENT_TIMEOUT_S
        for _ in range(MAX_RESUMES):
            resumed = await self._upstream.resume(self._request, resume_from=assembler.resume_from)
            if isinstance(resumed, Success):
                self._conn = resumed.unwrap()
                if self._disconnected:
                    return False
                status = await self._upstream.read_status(self._conn)
                return isinstance(status, Success) and status.unwrap() == 200
            await asyncio.sleep(RESUME_RETRY_DELAY_S)
        return False

    def _record_stream(self, assembler: EventAssembler) -> None:
        _, _, data = assembler.usage_event.partition(b"data: ")
        self._counters.count_usage(data)
        if self._first_token_s is not None:
            self._record_success(self._first_token_s)

    def _record_success(self, first_token_s: float | None) -> None:
        self._counters.completed += 1
        self._cold_limit.record_success(first_token_s=first_token_s)
        if self._context.chat is not None:
            self._chats.touch(self._context.chat, now=self._clock.monotonic())

    async def _send_stream_head(self, send: Any) -> None:
        fields = [
            *self._request_handler.common_headers(self._context),
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
        ]
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in fields]
        await send({"type": "http.response.start", "status": 200, "headers": encoded})

    async def _send_end_comment(self, send: Any, marker: bytes, event_count: int) -> None:
        comment = b": %s %s %d\n\n" % (marker, self._context.request_id.encode(), event_count)
        await send({"type": "http.response.body", "body": comment, "more_body": False})

    async def _send_engine_error(self, send: Any, status: int, content: bytes) -> None:
        if status >= 500:
            self._cold_limit.record_error()
            self._counters.engine_errors += 1
            await self._send_failure(send, f"the engine answered status {status}", sent=True)
            return
        fields = [
            *self._request_handler.common_headers(self._context),
            ("content-type", "application/json"),
        ]
        message = content.decode("utf-8", "replace")[:500]
        kind = "invalid_request_error"
        body = encode_error(
            message=f"the engine rejected the request: {message}",
            kind=kind,
            code=str(status),
            outcome=Outcome.NOT_RUN,
        )
        await send_response(send, status, fields, body)

    async def _send_failure(self, send: Any, message: str, *, sent: bool) -> None:
        self._cold_limit.record_error()
        self._counters.engine_errors += 1
        fields = self._request_handler.common_headers(self._context)
        if not sent:
            fields.append((headers.REFUSAL, "server_down"))
        await send_error(
            send,
            502 if sent else 503,
            fields,
            message=message,
            code="engine_failed",
            outcome=Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
        )
