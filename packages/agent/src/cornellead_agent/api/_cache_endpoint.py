"""Imports chat caches that draining agents hand over."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead_agent.api._body import read_body
from cornellead_agent.api._responses import send_error
from cornellead_agent.api._responses import send_response
from cornellead_core.load import ServerState
from cornellead_core.outcomes import Outcome

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._router_request_handler import RouterRequestHandler
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import EngineClient

IMPORT_TIMEOUT_S = 5.0


class CacheEndpoint:
    """Raw ASGI handler of ``PUT /v1/kv/{chat}``."""

    def __init__(
        self,
        *,
        request_handler: RouterRequestHandler,
        admission: AdmissionController,
        chats: ChatIndex,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        self._request_handler = request_handler
        self._admission = admission
        self._chats = chats
        self._client = client
        self._clock = clock

    async def handle(self, scope: Any, receive: Any, send: Any) -> None:
        """Import the cache of one chat into the engine."""
        context = await self._request_handler.accept(scope, send)
        if context is None:
            return
        received = await read_body(receive)
        status, message = 503, "this server takes no caches now"
        if not isinstance(received, Success):
            status, message = received.failure()
        elif context.chat is None:
            status, message = 400, "name the chat in x-cl-chat"
        elif self._admission.is_engine and self._admission.state is ServerState.SERVING:
            status = await self._import_cache(context.chat, received.unwrap())
            message = "the engine did not take the cache"
        fields = self._request_handler.common_headers(context)
        if status == 200:
            await send_response(send, 200, fields, b"")
            return
        await send_error(
            send, status, fields, message=message, code="no_import", outcome=Outcome.NOT_RUN
        )

    async def _import_cache(self, chat: int, body: bytes) -> int:
        fetched = await self._client.fetch(
            "PUT",
            f"/kv/{chat:016x}",
            headers=[("content-type", "application/json")],
            body=body,
            timeout_s=IMPORT_TIMEOUT_S,
        )
        if not isinstance(fetched, Success) or fetched.unwrap().status >= 300:
            return 502
        self._chats.touch(chat, now=self._clock.monotonic())
        return 200
