"""One HTTP/1.1 connection to the server beside the agent."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import httptools

HIGH_WATER_BYTES = 256 * 1024
"""Unread response bytes at which the socket is no longer read."""
LOW_WATER_BYTES = 64 * 1024


class EngineResponse(NamedTuple):
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: dict[str, str]


class EngineConnection(asyncio.Protocol):
    """Sends one request at a time and hands out the raw bytes of the response.

    A plain protocol on `httptools` instead of `httpx`, which costs 3 ms of CPU for a stream of 50
    chunks.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._unread = 0
        self._paused = False
        self._head: EngineResponse | None = None
        self._complete = False
        self._waiter: asyncio.Future[None] | None = None
        self.sent = False
        """Whether bytes of the present request were handed to the transport."""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader; a response that is not complete stays incomplete."""
        self.closed = True
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Feed the response parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
        if self._unread > HIGH_WATER_BYTES and not self._paused and self._transport is not None:
            self._transport.pause_reading()
            self._paused = True
        self._wake()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a response header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Publish status and headers."""
        self._head = EngineResponse(self._parser.get_status_code(), self._headers)

    def on_body(self, body: bytes) -> None:
        """Queue a part of the response body."""
        self._chunks.append(body)
        self._unread += len(body)

    def on_message_complete(self) -> None:
        """Mark the response complete, by its length or its last chunk."""
        self._complete = True

    def send(self, head: bytes, body: bytes) -> None:
        """Write a request."""
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._head = None
        self._complete = False
        self._chunks.clear()
        self._unread = 0
        self.sent = True
        self._transport.write(head + body)

    async def response(self) -> EngineResponse | None:
        """Wait for status and headers; ``None`` when the connection broke."""
        while self._head is None and not self.closed:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for body bytes; empty at the end, which `complete` tells from a break."""
        while not self._chunks and not self._complete and not self.closed:
            await self._wait()
        data = b"".join(self._chunks) if len(self._chunks) > 1 else b"".join(self._chunks[:1])
        self._chunks.clear()
        self._unread = 0
        if self._paused and self._transport is not None:
            self._transport.resume_reading()
            self._paused = False
        return data

    @property
    def complete(self) -> bool:
        """Whether the whole response was received and read."""
        return self._complete and not self._chunks

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.complete
            and not self.closed
            and self._transport is not None
            and not self._transport.is_closing()
            and self._parser.should_keep_alive()
        )

    def abort(self) -> None:
        """Close at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
