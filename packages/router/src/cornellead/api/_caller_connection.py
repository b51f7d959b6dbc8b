"""Connection to the caller of one request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from collections.abc import Sequence

    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send


class CallerConnection:
    """Reads the request body, sends the response and cancels the request on a disconnect."""

    def __init__(self, *, scope: Scope, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._headers = {name: text.decode("latin-1") for name, text in scope["headers"]}
        self._watcher: asyncio.Task[None] | None = None
        self.response_started = False
        """Whether status and headers were sent; an error then goes out as a stream event."""
        self.disconnected = False
        """Whether the caller closed the connection before the response was complete."""

    def header(self, name: str) -> str | None:
        """Return the value of a request header, or ``None`` if it is missing.

        :param name: Lower-case name.
        """
        return self._headers.get(name.encode())

    @property
    def bearer_token(self) -> str | None:
        """Token of the ``Authorization`` header, ``None`` without a bearer token."""
        scheme, _, token = (self.header("authorization") or "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token.strip() else None

    async def read_body(self, *, limit: int, timeout_s: float) -> bytes | ApiError:
        """Read the whole request body.

        :param limit: Maximum size of the body in bytes.
        :param timeout_s: Maximum time until the body is complete.
        :returns: The body, or the error for the caller if it is too long, late or incomplete.
        """
        length = self.header("content-length")
        if length is not None and length.isdecimal() and int(length) > limit:
            return _body_too_long(limit)
        parts: list[bytes] = []
        size = 0
        try:
            async with ArrivalTimeout(delay_s=timeout_s):
                while True:
                    message = await self._receive()
                    if message["type"] == "http.disconnect":
                        self.disconnected = True
                        return invalid_request_error(
                            "the connection closed before the body was complete"
                        )
                    if message["type"] != "http.request":
                        continue
                    part = message["body"]
                    size += len(part)
                    if size > limit:
                        return _body_too_long(limit)
                    parts.append(part)
                    if not message["more_body"]:
                        return b"".join(parts)
        except TimeoutError:
            text = f"the body did not arrive within {timeout_s:g} s; send it without pauses"
            return invalid_request_error(text, status=408, code="body_timeout")

    def cancel_on_disconnect(self) -> None:
        """Cancel the calling task if the caller disconnects before `stop_watching` is called."""
        task = asyncio.current_task()
        assert task is not None
        self._watcher = asyncio.create_task(self._cancel_when_disconnected(task))

    def stop_watching(self) -> None:
        """Ignore disconnects from now on, because the response is complete or about to be."""
        if self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def start_response(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Send status and headers; the body follows in parts."""
        self.response_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": list(headers)}
        )

    async def respond(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response with its content length."""
        self.stop_watching()
        length = (b"content-length", str(len(body)).encode())
        await self.start_response(status, [*headers, length])
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def send_error(self, error: ApiError, request_id: str) -> None:
        """Send an error response, or an error event if the response has already started."""
        if self.response_started:
            await self._send(
                {"type": "http.response.body", "body": error.event(), "more_body": False}
            )
            return
        headers = [
            (b"content-type", b"application/json"),
            (b"x-request-id", request_id.encode()),
            *error.headers(),
        ]
        if error.status in (408, 413):
            # The rest of the request body is still unread, so the connection cannot be reused.
            headers.append((b"connection", b"close"))
        await self.respond(error.status, headers, error.body())

    async def _cancel_when_disconnected(self, task: asyncio.Task[object]) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.disconnected = True
        task.cancel()


def _body_too_long(limit: int) -> ApiError:
    message = f"the body is longer than {limit} bytes; shorten the conversation"
    return invalid_request_error(message, status=413, code="body_too_long")
