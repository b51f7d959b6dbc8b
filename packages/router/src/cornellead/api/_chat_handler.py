"""Handler of chat completions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.api._caller_connection import CallerConnection
from cornellead.api._caller_request import CallerRequest
from cornellead.api._caller_request import read_request
from cornellead.api._chat_body import parse_chat_body
from cornellead.dispatch import AgentRequest
from cornellead.dispatch import ChatJob
from cornellead.dispatch import PlacedChat
from cornellead.dispatch import RequestState
from cornellead.errors import ApiError
from cornellead.errors import deadline_error
from cornellead.errors import invalid_request_error
from cornellead.errors import upstream_error
from cornellead.relay import EventStreamFilter
from cornellead.relay import StreamRelay
from cornellead_core import headers as header_names
from cornellead_core.outcomes import RefusalReason
from cornellead_core.placement import derive_chat_key

if TYPE_CHECKING:
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead.api._request_runner import RequestRunner
    from cornellead.dispatch import ChatDispatcher
    from cornellead.fleet import ServerView
    from cornellead.limits import TeamLimiter
    from cornellead.stats import RouterStats
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.retries import RetryBudget
    from cornellead_core.settings import RouterSettings

PATH = "/v1/chat/completions"
MAX_RESPONSE_BYTES = 16 << 20
"""Maximum size of a response that is not a stream; it is held in memory."""
MAX_STREAM_MOVES = 16
"""Maximum number of planned moves of one stream, each from a server that shuts down to one that
does not."""
RESPONSE_END_TIMEOUT_S = 1.0
"""Time for the agent to end its HTTP response after the last event; its connection is reusable only
then."""


class ChatHandler:
    """ASGI application for ``POST /v1/chat/completions``."""

    def __init__(
        self,
        *,
        board: Blackboard,
        settings: RouterSettings,
        dispatcher: ChatDispatcher,
        view: ServerView,
        budget: RetryBudget,
        team_limiter: TeamLimiter,
        stats: RouterStats,
        runner: RequestRunner,
    ) -> None:
        self._board = board
        self._settings = settings
        self._dispatcher = dispatcher
        self._view = view
        self._budget = budget
        self._team_limiter = team_limiter
        self._stats = stats
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one chat request as a stream or as one response."""
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        await self._runner.run(
            conn,
            lambda request_id, state: self._serve(conn, request_id, state, send),
            kind="chat",
        )

    async def _serve(
        self, conn: CallerConnection, request_id: str, state: RequestState, send: Send
    ) -> ApiError | None:
        req = await read_request(conn, board=self._board, settings=self._settings)
        if isinstance(req, ApiError):
            return req
        conn.cancel_on_disconnect()
        job = self._parse(conn, req, request_id)
        if isinstance(job, ApiError):
            return job
        error = self._team_limiter.admit(req.team, now=req.received_at)
        if error is not None:
            return error
        self._budget.count_request(now=req.received_at)
        try:
            return await self._dispatch(conn, job, state, req, send)
        finally:
            self._team_limiter.release(req.team)

    async def _dispatch(
        self,
        conn: CallerConnection,
        job: ChatJob,
        state: RequestState,
        req: CallerRequest,
        send: Send,
    ) -> ApiError | None:
        """Place the request and relay its response.

        Another server is tried within the retry budget if the response is truncated.
        """
        while True:
            placed = await self._dispatcher.place(job, state)
            if isinstance(placed, ApiError):
                return placed
            try:
                if placed.head.headers.get("content-type", "").startswith("text/event-stream"):
                    return await self._relay_stream(conn, job, placed, state, req, send)
                error = await self._relay_response(conn, placed, job, state)
            finally:
                self._dispatcher.release(job, placed)
            if error is None:
                return None
            state.unanswered_failures += 1
            if state.may_crash_servers:
                return error
            now = asyncio.get_running_loop().time()
            if now >= job.request.deadline:
                return deadline_error(may_have_run=True)
            if not self._budget.try_spend(now=now):
                return error

    def _parse(
        self, conn: CallerConnection, req: CallerRequest, request_id: str
    ) -> ChatJob | ApiError:
        chat = parse_chat_body(req.body)
        if isinstance(chat, ApiError):
            return chat
        if chat.model not in req.team.models:
            message = f"model {chat.model!r} does not exist or team {req.team.name} may not use it"
            return invalid_request_error(message, status=404, code="model_not_found")
        key = derive_chat_key(
            team=req.team.name,
            model=chat.model,
            messages=chat.messages,
            chat_id=conn.header("x-chat-id"),
        )
        extra_headers = {header_names.CHAT: key.hex}
        if key.returning:
            extra_headers[header_names.RETURNING] = "1"
        request = AgentRequest(
            request_id=request_id,
            path=PATH,
            body=req.body,
            content_type="application/json",
            team=req.team.name,
            priority=str(req.priority),
            deadline=req.deadline,
            headers=extra_headers,
        )
        return ChatJob(request, chat.model, key, req.team, req.priority)

    async def _relay_response(
        self, conn: CallerConnection, placed: PlacedChat, job: ChatJob, state: RequestState
    ) -> ApiError | None:
        """Send the response to the caller once it is complete.

        :returns: ``None``, or the error if the response was truncated; nothing was sent then.
        """
        loop = asyncio.get_running_loop()
        deadline_timer = placed.exchange.abort_at(job.request.deadline)
        try:
            body = await placed.exchange.read_all(limit=MAX_RESPONSE_BYTES)
        finally:
            deadline_timer.cancel()
        length = placed.head.headers.get("content-length")
        if body is None or length != str(len(body)):
            placed.exchange.abort()
            state.may_have_run = True
            self._view.record_failure(placed.server, now=loop.time())
            return upstream_error("the response was cut off", may_have_run=True)
        content_type = placed.head.headers.get("content-type", "application/json")
        headers = [
            (b"content-type", content_type.encode("latin-1")),
            (b"x-request-id", job.request.request_id.encode()),
        ]
        self._stats.count_response("chat", placed.head.status)
        await conn.respond(placed.head.status, headers, body)
        return None

    async def _relay_stream(
        self,
        conn: CallerConnection,
        job: ChatJob,
        placed: PlacedChat,
        state: RequestState,
        req: CallerRequest,
        send: Send,
    ) -> ApiError | None:
        """Stream the events to the caller, and resume on another server if the stream breaks.

        :returns: ``None``, or the error if the stream could not be completed.
        """
        loop = asyncio.get_running_loop()
        headers = [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            (b"x-request-id", job.request.request_id.encode()),
        ]
        await conn.start_response(200, headers)
        stream_filter = EventStreamFilter(request_id=job.request.request_id)
        relay = StreamRelay(send=send, stream_filter=stream_filter)
        moves = 0
        first_placed = placed
        while True:
            deadline_timer = placed.exchange.abort_at(job.request.deadline)
            try:
                await relay.run(placed.exchange)
                if stream_filter.ended:
                    await self._finish_stream(conn, placed, stream_filter)
                    return None
            finally:
                deadline_timer.cancel()
                # The caller of this method releases the first placement.
                if placed is first_placed:
                    self._record_added_latency(req, state, placed, relay)
                else:
                    self._dispatcher.release(job, placed)
            placed.exchange.abort()
            state.may_have_run = True
            state.unanswered_failures += not stream_filter.moved and not stream_filter.delivered
            if state.may_crash_servers:
                message = stream_filter.fault or "the stream broke before its first event"
                return upstream_error(message, may_have_run=True)
            now = loop.time()
            if stream_filter.moved:
                moves += 1
                draining = RefusalReason.DRAINING
                self._view.record_refusal(placed.server, draining, batch=False, now=now)
            error = self._prepare_resume(job, stream_filter, placed, moves, now)
            if error is None:
                self._stats.count_resume()
                resumed = await self._dispatcher.place(
                    job, state, resume_from=stream_filter.delivered
                )
                if isinstance(resumed, PlacedChat):
                    placed = resumed
                    stream_filter.restart()
                    continue
                error = resumed
            return error

    def _record_added_latency(
        self, req: CallerRequest, state: RequestState, placed: PlacedChat, relay: StreamRelay
    ) -> None:
        """Record the time to first token without the share of the agent and of the wait queue."""
        exchange = placed.exchange
        if relay.first_sent_at is None or exchange.first_byte_at is None:
            return
        agent_s = exchange.first_byte_at - exchange.sent_at
        total_s = relay.first_sent_at - req.received_at
        self._stats.added_latency.record(total_s - agent_s - state.waited_s)

    def _prepare_resume(
        self,
        job: ChatJob,
        stream_filter: EventStreamFilter,
        placed: PlacedChat,
        moves: int,
        now: float,
    ) -> ApiError | None:
        """Check whether a stream may be resumed.

        A planned move costs no retry; only the number of moves is limited. Otherwise the server is
        marked as failed and the resume is charged to the retry budget.

        :returns: ``None``, or the error for the caller if the stream must not be resumed.
        """
        if now >= job.request.deadline:
            return deadline_error(may_have_run=True)
        if stream_filter.moved:
            message = "the stream moved too often"
            return upstream_error(message, may_have_run=True) if moves > MAX_STREAM_MOVES else None
        self._view.record_failure(placed.server, now=now)
        if not self._budget.try_spend(now=now):
            return upstream_error(stream_filter.fault or "the stream broke", may_have_run=True)
        return None

    async def _finish_stream(
        self, conn: CallerConnection, placed: PlacedChat, stream_filter: EventStreamFilter
    ) -> None:
        """Count a complete stream and wait until its connection can be reused."""
        conn.stop_watching()
        self._stats.count_events(stream_filter.delivered)
        self._stats.count_response("chat", 200)
        try:
            async with asyncio.timeout(RESPONSE_END_TIMEOUT_S):
                if await placed.exchange.read():
                    placed.exchange.abort()
        except TimeoutError:
            pass
