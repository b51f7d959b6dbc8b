"""Requests for chat completions to the model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.relay._active_connections import ActiveConnections
from cornellead_agent.relay._engine_client import EngineRequestError
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from cornellead_agent.relay._engine_client import EngineClient
    from cornellead_agent.relay._engine_connection import EngineConnection

CHAT_PATH = "/v1/chat/completions"
HEAD_TIMEOUT_S = 30.0
"""Timeout for the response headers of the engine."""
CANCEL_TIMEOUT_S = 2.0


class ChatRequest(NamedTuple):
    """One chat completion request as sent to the engine."""

    request_id: str
    """Also identifies the stream at the engine, to resume or cancel it."""
    chat: int | None
    """Key of the chat in the engine's cache."""
    batch: bool
    body: bytes


class Upstream:
    """Starts, resumes and cancels chat completions on one engine."""

    def __init__(self, *, client: EngineClient) -> None:
        self._client = client
        self.active = ActiveConnections()

    async def open(
        self, request: ChatRequest, *, resume_from: int
    ) -> Result[EngineConnection, EngineRequestError]:
        """Send the request.

        :param resume_from: Event after which the engine continues the stream; 0 for a new stream.
        """
        body = add_resume_from(request.body, resume_from) if resume_from else request.body
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
    ) -> Result[EngineConnection, EngineRequestError]:
        """Attach to a stream that the engine still runs, or else send the request again.

        :param resume_from: Event after which the stream continues.
        """
        target = f"/v1/streams/{request.request_id}?from={resume_from}"
        opened = self._track(await self._client.open("GET", target))
        if isinstance(opened, Success):
            conn = opened.unwrap()
            status = await self.read_status(conn)
            if isinstance(status, Success) and status.unwrap() == 200:
                return opened
            self.release(conn)
        return await self.open(request, resume_from=resume_from)

    async def read_status(self, conn: EngineConnection) -> Result[int, EngineRequestError]:
        """Wait for the response headers and return the status."""
        try:
            async with ArrivalTimeout(delay_s=HEAD_TIMEOUT_S):
                head = await conn.read_head()
        except TimeoutError:
            return Failure(EngineRequestError("the engine did not answer in time", sent=True))
        if head is None:
            return Failure(EngineRequestError("the engine closed the connection", sent=True))
        return Success(head.status)

    async def cancel(self, request_id: str) -> None:
        """Cancel a request on the engine; if that fails, the engine completes it unread."""
        await self._client.fetch("DELETE", f"/v1/streams/{request_id}", timeout_s=CANCEL_TIMEOUT_S)

    def release(self, conn: EngineConnection) -> None:
        """Unregister a connection and return it to the pool."""
        self.active.remove(conn)
        self._client.release(conn)

    def _track(
        self, opened: Result[EngineConnection, EngineRequestError]
    ) -> Result[EngineConnection, EngineRequestError]:
        if isinstance(opened, Success):
            self.active.add(opened.unwrap())
        return opened


def add_resume_from(body: bytes, resume_from: int) -> bytes:
    """Add the ``resume_from`` field to an encoded JSON object.

    >>> add_resume_from(b'{"model": "m"} ', 3)
    b'{"model": "m","resume_from":3}'
    """
    return b'%s,"resume_from":%d}' % (body.rstrip()[:-1], resume_from)
