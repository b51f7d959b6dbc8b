"""One request to an agent and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

HIGH_WATER_BYTES = 64 << 10
"""Unread response bytes above which reading from the agent pauses."""


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: Mapping[str, str]
    """Names in lower case."""
    raw: tuple[tuple[bytes, bytes], ...] = ()
    """All headers in order, as sent."""


class Exchange:
    """Response side of one request; the connection fills it, one task reads it.

    :param abort: Closes the connection.
    :param resume_reading: Lets the connection read again after back-pressure.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        abort: Callable[[], None],
        resume_reading: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._abort = abort
        self._resume_reading = resume_reading
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._sink: Callable[[bytes], bool] | None = None
        self.pending_bytes = 0
        self.complete = False
        self.broken = False
        self.sent_at = loop.time()
        self.first_byte_at: float | None = None
        """Loop time at which the first body byte arrived."""

    async def head(self) -> ResponseHead | None:
        """Wait for status and headers.

        :returns: ``None`` if the connection broke before.
        """
        while self._head is None:
            if self.broken:
                return None
            await self._wait()
        return self._head

    async def read(self) -> bytes | None:
        """Wait for body bytes.

        :returns: All bytes received since the last call, ``b""`` after the last byte of a complete
            response, or ``None`` if the connection broke.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self.broken:
                return None
            await self._wait()
        return self.take()

    def take(self) -> bytes:
        """Return the bytes received since the last call, which may be none."""
        chunks = self._chunks
        if not chunks:
            return b""
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        if self.pending_bytes > HIGH_WATER_BYTES:
            self._resume_reading()
        self.pending_bytes = 0
        return data

    def attach(self, sink: Callable[[bytes], bool]) -> None:
        """Offer body bytes to a function first, while no earlier bytes wait.

        :param sink: Returns whether it consumed the bytes; otherwise they are kept for `take`.
        """
        self._sink = sink

    def detach(self) -> None:
        """Drop the function given to `attach`, which usually refers back to this object."""
        self._sink = None

    async def wait(self) -> None:
        """Wait until bytes are kept, the response ends, or `wake` is called."""
        if not self._chunks and not self.complete and not self.broken:
            await self._wait()

    def wake(self) -> None:
        """Make `wait` return."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read_all(self, *, limit: int) -> bytes | None:
        """Read the whole body.

        :param limit: Longest accepted body in bytes; a longer one closes the connection.
        :returns: ``None`` if the response did not arrive whole.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            data = await self.read()
            if data is None:
                return None
            if not data:
                return b"".join(parts)
            size += len(data)
            if size > limit:
                self.abort()
                return None
            parts.append(data)

    def abort(self) -> None:
        """Close the connection unless the response is complete; readers see it as broken."""
        if not self.complete:
            self.broken = True
            self._abort()
            self.wake()

    def put_head(self, head: ResponseHead) -> None:
        """Store status and headers; called by the connection."""
        self._head = head
        self.wake()

    def put_body(self, data: bytes) -> None:
        """Store body bytes; called by the connection."""
        if self.first_byte_at is None:
            self.first_byte_at = self._loop.time()
        if self._sink is not None and not self._chunks and self._sink(data):
            return
        self._chunks.append(data)
        self.pending_bytes += len(data)
        self.wake()

    def finish(self, *, complete: bool) -> None:
        """Mark the end of the response; called by the connection."""
        if self.complete or self.broken:
            return
        self.complete = complete
        self.broken = not complete
        self.wake()

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            # The only reader is gone; the rest of the response must not reach another request.
            self.abort()
            raise
        finally:
            self._waiter = None
