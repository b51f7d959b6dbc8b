"""Endpoint for chat completions, called by routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cornellead_agent.api._chat_relay import ChatRelay
from cornellead_agent.api._responses import send_refusal
from cornellead_agent.relay import ChatRequest
from cornellead_core.decoding import UNREADABLE

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._relay_counters import RelayCounters
    from cornellead_agent.api._router_request_handler import RouterRequestHandler
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import Upstream
    from cornellead_core.blackboard import Blackboard


class _ChatBody(msgspec.Struct):
    model: str
    stream: bool = False


_decoder = msgspec.json.Decoder(_ChatBody)


class ChatEndpoint:
    """Raw ASGI handler of ``POST /v1/chat/completions``."""

    def __init__(
        self,
        *,
        request_handler: RouterRequestHandler,
        admission: AdmissionController,
        board: Blackboard,
        chats: ChatIndex,
        cold_limit: ColdLimit,
        upstream: Upstream,
        counters: RelayCounters,
        clock: Clock,
    ) -> None:
        self._request_handler = request_handler
        self._admission = admission
        self._board = board
        self._chats = chats
        self._cold_limit = cold_limit
        self._upstream = upstream
        self._counters = counters
        self._clock = clock

    async def handle(self, scope: Any, receive: Any, send: Any) -> None:
        """Authenticate, admit and relay one request."""
        context = await self._request_handler.accept(scope, send)
        if context is None:
            return
        body = await self._request_handler.read_body(context, receive, send)
        if body is None:
            return
        try:
            parsed = _decoder.decode(body)
        except UNREADABLE as exc:
            message = f"send a JSON object with a model: {exc}"
            await self._request_handler.reject(send, context, 400, message)
            return
        # Admission follows the complete body, so that a slow sender does not occupy capacity.
        now = self._clock.monotonic()
        refusal = self._admission.admit(context.admission, chat=context.chat, now=now)
        if refusal is not None:
            await send_refusal(send, refusal, self._request_handler.common_headers(context))
            return
        relay = ChatRelay(
            request=ChatRequest(context.request_id, context.chat, context.admission.batch, body),
            context=context,
            request_handler=self._request_handler,
            board=self._board,
            chats=self._chats,
            cold_limit=self._cold_limit,
            upstream=self._upstream,
            counters=self._counters,
            clock=self._clock,
        )
        try:
            await relay.run(receive, send, stream=parsed.stream)
        finally:
            self._admission.finish(duration_s=self._clock.monotonic() - now)
