"""Chat completions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.api._caller_connection import CallerConnection
from cornellead.api._caller_request import CallerRequest
from cornellead.api._caller_request import read_request
from cornellead.api._chat_body import parse_chat_body
from cornellead.dispatch import AgentRequest
from cornellead.dispatch import ChatJob
from cornellead.dispatch import Placed
from cornellead.dispatch import Progress
from cornellead.errors import ApiError
from cornellead.errors import invalid
from cornellead.errors import lost
from cornellead.errors import too_late
from cornellead.relay import StreamCutter
from cornellead.relay import StreamRelay
from cornellead_core import headers as names
from cornellead_core.outcomes import RefusalReason
from cornellead_core.placement import derive_chat_key

if TYPE_CHECKING:
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead.api._request_runner import RequestRunner
    from cornellead.dispatch import ChatDispatcher
    from cornellead.fleet import ServerView
    from cornellead.limits import TeamGate
    from cornellead.stats import RouterStats
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.retries import RetryBudget
    from cornellead_core.settings import RouterSettings

PATH = "/v1/chat/completions"
MAX_RESPONSE_BYTES = 16 << 20
MAX_MOVES = 16
"""Planned moves of one stream; each must find a server that is not stopping."""
END_TIMEOUT_S = 1.0
"""Wait for the end of the HTTP response after the last event, to use the connection again."""


class ChatHandler:
    """Serves ``POST /v1/chat/completions`` as raw ASGI."""

    def __init__(
        self,
        *,
        board: Blackboard,
        settings: RouterSettings,
        dispatcher: ChatDispatcher,
        view: ServerView,
        budget: RetryBudget,
        gate: TeamGate,
        stats: RouterStats,
        runner: RequestRunner,
    ) -> None:
        self._board = board
        self._settings = settings
        self._dispatcher = dispatcher
        self._view = view
        self._budget = budget
        self._gate = gate
        self._stats = stats
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        await self._runner.run(
            conn,
            lambda request_id, progress: self._serve(conn, request_id, progress, send),
            kind="chat",
        )

    async def _serve(
        self, conn: CallerConnection, request_id: str, progress: Progress, send: Send
    ) -> ApiError | None:
        req = await read_request(conn, board=self._board, settings=self._settings)
        if isinstance(req, ApiError):
            return req
        conn.watch()
        self._budget.count_request(now=req.received_at)
        job = self._parse(conn, req, request_id)
        if isinstance(job, ApiError):
            return job
        error = self._gate.enter(req.team, now=req.received_at)
        if error is not None:
            return error
        try:
            return await self._run(conn, job, progress, req, send)
        finally:
            self._gate.leave(req.team)

    async def _run(
        self,
        conn: CallerConnection,
        job: ChatJob,
        progress: Progress,
        req: CallerRequest,
        send: Send,
    ) -> ApiError | None:
        while True:
            placed = await self._dispatcher.place(job, progress)
            if isinstance(placed, ApiError):
                return placed
            try:
                if placed.head.headers.get("content-type", "").startswith("text/event-stream"):
                    return await self._stream(conn, job, placed, progress, req, send)
                error = await self._answer(conn, placed, job, progress)
            finally:
                placed.exchange.abort()
                self._view.finished(placed.server)
            if error is None:
                return None
            now = asyncio.get_running_loop().time()
            if now >= job.request.deadline:
                return too_late(may_have_run=True)
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
            return invalid(message, status=404, code="model_not_found")
        key = derive_chat_key(
            team=req.team.name,
            model=chat.model,
            messages=chat.messages,
            chat_id=conn.header("x-chat-id"),
        )
        fields = {names.CHAT: key.hex}
        if key.returning:
            fields[names.RETURNING] = "1"
        request = AgentRequest(
            request_id=request_id,
            path=PATH,
            body=req.body,
            content_type="application/json",
            team=req.team.name,
            priority=str(req.priority),
            deadline=req.deadline,
            headers=fields,
        )
        return ChatJob(request, chat.model, key, req.team, req.priority)

    async def _answer(
        self, conn: CallerConnection, placed: Placed, job: ChatJob, progress: Progress
    ) -> ApiError | None:
        """Deliver a whole answer, or nothing of it."""
        loop = asyncio.get_running_loop()
        timer = loop.call_at(job.request.deadline, placed.exchange.abort)
        try:
            body = await placed.exchange.read_all(limit=MAX_RESPONSE_BYTES)
        finally:
            timer.cancel()
        length = placed.head.headers.get("content-length")
        if body is None or length != str(len(body)):
            placed.exchange.abort()
            progress.may_have_run = True
            self._view.failed(placed.server, now=loop.time())
            return lost("the response was cut off", may_have_run=True)
        content_type = placed.head.headers.get("content-type", "application/json")
        headers = [
            (b"content-type", content_type.encode("latin-1")),
            (b"x-request-id", job.request.request_id.encode()),
        ]
        self._stats.count_response("chat", placed.head.status)
        await conn.respond(placed.head.status, headers, body)
        return None

    async def _stream(
        self,
        conn: CallerConnection,
        job: ChatJob,
        placed: Placed,
        progress: Progress,
        req: CallerRequest,
        send: Send,
    ) -> ApiError | None:
        """Deliver a stream, resuming it after a break or a move."""
        loop = asyncio.get_running_loop()
        headers = [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            (b"x-request-id", job.request.request_id.encode()),
        ]
        await conn.start(200, headers)
        cutter = StreamCutter(request_id=job.request.request_id)
        relay = StreamRelay(send=send, cutter=cutter)
        moves = 0
        first = placed
        while True:
            timer = loop.call_at(job.request.deadline, placed.exchange.abort)
            try:
                await relay.run(placed.exchange)
                if cutter.ended:
                    await self._finish(conn, placed, cutter)
                    return None
            finally:
                timer.cancel()
                if placed is first:
                    self._record_added(req, progress, placed, relay)
                else:
                    placed.exchange.abort()
                    self._view.finished(placed.server)
            placed.exchange.abort()
            progress.may_have_run = True
            now = loop.time()
            if cutter.moved:
                moves += 1
                draining = RefusalReason.DRAINING
                self._view.refused(placed.server, draining, batch=False, now=now)
            error = self._check_resume(job, cutter, placed, moves, now)
            if error is None:
                self._stats.count_resume()
                again = await self._dispatcher.place(job, progress, resume_from=cutter.delivered)
                if isinstance(again, Placed):
                    placed = again
                    cutter.restart()
                    continue
                error = again
            return error

    def _record_added(
        self, req: CallerRequest, progress: Progress, placed: Placed, relay: StreamRelay
    ) -> None:
        exchange = placed.exchange
        if relay.first_sent_at is None or exchange.first_byte_at is None:
            return
        agent_s = exchange.first_byte_at - exchange.sent_at
        total_s = relay.first_sent_at - req.received_at
        self._stats.added.record(total_s - agent_s - progress.waited_s)

    def _check_resume(
        self, job: ChatJob, cutter: StreamCutter, placed: Placed, moves: int, now: float
    ) -> ApiError | None:
        if now >= job.request.deadline:
            return too_late(may_have_run=True)
        if cutter.moved:
            text = "the stream moved too often"
            return lost(text, may_have_run=True) if moves > MAX_MOVES else None
        self._view.failed(placed.server, now=now)
        if not self._budget.try_spend(now=now):
            return lost(cutter.fault or "the stream broke", may_have_run=True)
        return None

    async def _finish(self, conn: CallerConnection, placed: Placed, cutter: StreamCutter) -> None:
        conn.unwatch()
        self._stats.count_events(cutter.delivered)
        self._stats.count_response("chat", 200)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                if await placed.exchange.read():
                    placed.exchange.abort()
        except TimeoutError:
            pass
