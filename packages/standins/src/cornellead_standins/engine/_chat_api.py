"""ASGI handlers of chat completions and of their streams."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar.enums import ScopeType
from returns.result import Success

from cornellead_standins.engine._sequence import ChatBody
from cornellead_standins.engine._text import hash_prompt
from cornellead_standins.engine._text import tokenize

if TYPE_CHECKING:
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead_standins.engine._engine import Engine
    from cornellead_standins.engine._stream import Stream

DONE_EVENT = b"data: [DONE]\n\n"


class _AbortResponseError(Exception):
    """Raised to close the connection in the middle of the response."""


class ChatApi:
    """Serves ``/v1/chat/completions`` and ``/v1/streams/{request_id}``."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    async def complete(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run a chat completion and send the response, streamed if the request asks for it."""
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        try:
            body = msgspec.json.decode(await _read_body(receive), type=ChatBody)
        except msgspec.DecodeError as exc:
            await self._send_json(send, 400, {"error": {"message": str(exc)}})
            return
        cache_key = headers.get("x-cache-key") or f"{hash_prompt('', tokenize(body.messages)):016x}"
        submitted = self._engine.submit(
            body,
            request_id=headers.get("x-request-id") or secrets.token_hex(8),
            cache_key=cache_key,
            low_priority=headers.get("x-priority") == "batch",
            now=time.monotonic(),
        )
        if not isinstance(submitted, Success):
            rejection = submitted.failure()
            await self._send_json(send, rejection.status, {"error": {"message": rejection.message}})
            return
        stream = submitted.unwrap()
        if body.stream:
            await self._send_stream(stream, body.resume_from, receive, send)
        else:
            await self._send_complete(stream, receive, send)

    async def resume(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the rest of a stream (``GET``) or cancel it (``DELETE``)."""
        if scope["type"] != ScopeType.HTTP:
            return
        request_id = scope["path"].rstrip("/").rpartition("/")[2]
        if scope["method"] == "DELETE":
            cancelled = self._engine.cancel(request_id)
            await self._send_json(send, 200 if cancelled else 404, {})
            return
        stream = self._engine.streams.get(request_id)
        query = scope["query_string"].decode()
        resume_from = int(query.removeprefix("from=") or 0) if query.startswith("from=") else 0
        if stream is None or resume_from < stream.seq.resumed_from:
            await self._send_json(send, 404, {"error": {"message": "stream is not known"}})
            return
        await self._send_stream(stream, resume_from, receive, send)

    async def _send_stream(
        self, stream: Stream, resume_from: int, receive: Receive, send: Send
    ) -> None:
        await self._send_start(send, 200, "text/event-stream")
        stream.reader_count += 1
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await self._send_events(stream, resume_from, disconnect_task, send)
        except _AbortResponseError:
            # Returning without the final body message makes uvicorn close the connection.
            return
        finally:
            disconnect_task.cancel()
            stream.reader_count -= 1
            stream.orphaned_at = time.monotonic()

    async def _send_events(
        self, stream: Stream, resume_from: int, disconnect_task: asyncio.Task[None], send: Send
    ) -> None:
        rng, delayed = self._engine.rng, b""
        number = resume_from
        while not disconnect_task.done():
            number += 1
            event = await stream.next_event(number)
            if event is None:
                break
            faults = self._engine.faults
            if not delayed and rng.random() < faults.reorder:
                delayed = event
                continue
            content, delayed = event + delayed, b""
            if rng.random() < faults.duplicate:
                content += event
            if rng.random() < faults.truncate:
                await _send_chunk(send, content[: len(content) // 2])
                raise _AbortResponseError
            await _send_chunk(send, content)
        if stream.failed or disconnect_task.done():
            raise _AbortResponseError
        await send({"type": "http.response.body", "body": delayed + DONE_EVENT, "more_body": False})

    async def _send_complete(self, stream: Stream, receive: Receive, send: Send) -> None:
        stream.reader_count += 1
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            completed = await stream.wait_finished()
        finally:
            disconnect_task.cancel()
            stream.reader_count -= 1
            stream.orphaned_at = time.monotonic()
        if not completed:
            await self._send_json(send, 500, {"error": {"message": "engine crashed"}})
            return
        seq = stream.seq
        message = {"role": "assistant", "content": stream.full_text()}
        completion = {
            "id": seq.request_id,
            "object": "chat.completion",
            "model": seq.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
            "usage": stream.usage(),
        }
        truncate = self._engine.rng.random() < self._engine.faults.truncate
        await self._send_json(send, 200, completion, truncate=truncate)

    async def _send_json(
        self, send: Send, status: int, body: Any, *, truncate: bool = False
    ) -> None:
        content = msgspec.json.encode(body)
        await self._send_start(send, status, "application/json", length=len(content))
        if truncate:
            await _send_chunk(send, content[: len(content) // 2])
            return
        await send({"type": "http.response.body", "body": content, "more_body": False})

    async def _send_start(
        self, send: Send, status: int, media_type: str, *, length: int | None = None
    ) -> None:
        headers = [
            (b"content-type", media_type.encode()),
            (b"x-engine-boot", self._engine.boot_id.encode()),
        ]
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        await send({"type": "http.response.start", "status": status, "headers": headers})


async def _send_chunk(send: Send, content: bytes) -> None:
    await send({"type": "http.response.body", "body": content, "more_body": True})


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b""
        parts.append(message["body"])
        if not message["more_body"]:
            return b"".join(parts)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
