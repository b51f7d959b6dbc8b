"""Chat completions and streams over ASGI."""

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

DONE = b"data: [DONE]\n\n"


class _CutError(Exception):
    """The connection is closed in the middle of the response."""


class ChatApi:
    """Serves ``/v1/chat/completions`` and ``/v1/streams/{request_id}``."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    async def complete(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run a chat completion, streamed or whole."""
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        try:
            body = msgspec.json.decode(await _read_body(receive), type=ChatBody)
        except msgspec.DecodeError as exc:
            await self._send_json(send, 400, {"error": {"message": str(exc)}})
            return
        key = headers.get("x-cache-key") or f"{hash_prompt('', tokenize(body.messages)):016x}"
        submitted = self._engine.submit(
            body,
            request_id=headers.get("x-request-id") or secrets.token_hex(8),
            cache_key=key,
            batch=headers.get("x-priority") == "batch",
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
            await self._send_whole(stream, receive, send)

    async def resume(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Continue (``GET``) or cancel (``DELETE``) a stream."""
        if scope["type"] != ScopeType.HTTP:
            return
        request_id = scope["path"].rstrip("/").rpartition("/")[2]
        if scope["method"] == "DELETE":
            known = self._engine.cancel(request_id)
            await self._send_json(send, 200 if known else 404, {})
            return
        stream = self._engine.streams.get(request_id)
        query = scope["query_string"].decode()
        first = int(query.removeprefix("from=") or 0) if query.startswith("from=") else 0
        if stream is None or first < stream.seq.first:
            await self._send_json(send, 404, {"error": {"message": "stream is not known"}})
            return
        await self._send_stream(stream, first, receive, send)

    async def _send_stream(self, stream: Stream, first: int, receive: Receive, send: Send) -> None:
        await self._send_start(send, 200, "text/event-stream")
        stream.readers += 1
        watcher = asyncio.create_task(_wait_disconnect(receive))
        try:
            await self._send_events(stream, first, watcher, send)
        except _CutError:
            # Returning without the final chunk makes the server close the connection.
            return
        finally:
            watcher.cancel()
            stream.readers -= 1
            stream.orphaned_at = time.monotonic()

    async def _send_events(
        self, stream: Stream, first: int, watcher: asyncio.Task[None], send: Send
    ) -> None:
        rng, held = self._engine.rng, b""
        number = first
        while not watcher.done():
            number += 1
            event = await stream.next_event(number)
            if event is None:
                break
            faults = self._engine.faults
            if not held and rng.random() < faults.reorder:
                held = event
                continue
            content, held = event + held, b""
            if rng.random() < faults.duplicate:
                content += event
            if rng.random() < faults.truncate:
                await _send_chunk(send, content[: len(content) // 2])
                raise _CutError
            await _send_chunk(send, content)
        if stream.broken or watcher.done():
            raise _CutError
        await send({"type": "http.response.body", "body": held + DONE, "more_body": False})

    async def _send_whole(self, stream: Stream, receive: Receive, send: Send) -> None:
        stream.readers += 1
        watcher = asyncio.create_task(_wait_disconnect(receive))
        try:
            finished = await stream.wait_finished()
        finally:
            watcher.cancel()
            stream.readers -= 1
            stream.orphaned_at = time.monotonic()
        if not finished:
            await self._send_json(send, 500, {"error": {"message": "engine crashed"}})
            return
        seq = stream.seq
        message = {"role": "assistant", "content": stream.text()}
        answer = {
            "id": seq.request_id,
            "object": "chat.completion",
            "model": seq.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
            "usage": stream.usage(),
        }
        cut = self._engine.rng.random() < self._engine.faults.truncate
        await self._send_json(send, 200, answer, cut=cut)

    async def _send_json(self, send: Send, status: int, body: Any, *, cut: bool = False) -> None:
        content = msgspec.json.encode(body)
        await self._send_start(send, status, "application/json", length=len(content))
        if cut:
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


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
