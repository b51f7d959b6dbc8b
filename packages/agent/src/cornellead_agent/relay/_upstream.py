"""Requests to a model engine for one chat completion."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.relay._active_connections import ActiveConnections
from cornellead_agent.relay._engine_client import ExchangeError

if TYPE_CHECKING:
    from cornellead_agent.relay._engine_client import EngineClient
    from cornellead_agent.relay._engine_connection import EngineConnection

CHAT_PATH = "/v1/chat/completions"
HEAD_TIMEOUT_S = 30.0
"""Longest wait for the response headers of the engine."""
CANCEL_TIMEOUT_S = 2.0


class ChatRequest(NamedTuple):
    """One chat completion as sent to the engine."""

    request_id: str
    chat: int | None
    batch: bool
    body: bytes


class Upstream:
    """Opens, resumes and cancels the streams of one engine."""

    def __init__(self, *, client: EngineClient) -> None:
        self._client = client
        self.active = ActiveConnections()

    async def open(
        self, request: ChatRequest, *, resume_from: int
    ) -> Result[EngineConnection, ExchangeError]:
        """Send the request, continuing after an event."""
        body = with_resume(request.body, resume_from) if resume_from else request.body
        fields = [
            ("content-type", "application/json"),
            ("x-request-id", request.request_id),
            ("x-priority", "batch" if request.batch else "interactive"),
        ]
        if request.chat is not None:
            fields.append(("x-cache-key", f"{request.chat:016x}"))
        return self._track(await self._client.open("POST", CHAT_PATH, headers=fields, body=body))

    async def resume(
        self, request: ChatRequest, *, resume_from: int
    ) -> Result[EngineConnection, ExchangeError]:
        """Continue a stream that the engine still runs, or start it again after its last event."""
        target = f"/v1/streams/{request.request_id}?from={resume_from}"
        opened = self._track(await self._client.open("GET", target))
        if isinstance(opened, Success):
            conn = opened.unwrap()
            head = await self.head(conn)
            if isinstance(head, Success) and head.unwrap() == 200:
                return opened
            self.release(conn)
        return await self.open(request, resume_from=resume_from)

    async def head(self, conn: EngineConnection) -> Result[int, ExchangeError]:
        """Wait for the status of a response."""
        try:
            async with asyncio.timeout(HEAD_TIMEOUT_S):
                head = await conn.response()
        except TimeoutError:
            return Failure(ExchangeError("the engine did not answer in time", sent=True))
        if head is None:
            return Failure(ExchangeError("the engine closed the connection", sent=True))
        return Success(head.status)

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; a failure leaves it to finish unread."""
        await self._client.fetch("DELETE", f"/v1/streams/{request_id}", timeout_s=CANCEL_TIMEOUT_S)

    def release(self, conn: EngineConnection) -> None:
        """Give a connection back."""
        self.active.remove(conn)
        self._client.release(conn)

    def _track(
        self, opened: Result[EngineConnection, ExchangeError]
    ) -> Result[EngineConnection, ExchangeError]:
        if isinstance(opened, Success):
            self.active.add(opened.unwrap())
        return opened


def with_resume(body: bytes, resume_from: int) -> bytes:
    """Add the event to continue after to a JSON object.

    >>> with_resume(b'{"model": "m"} ', 3)
    b'{"model": "m","resume_from":3}'
    """
    return b'%s,"resume_from":%d}' % (body.rstrip()[:-1], resume_from)
