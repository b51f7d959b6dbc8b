"""Response to a request on a pooled connection, while it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.buffers import UNKNOWN_OWNER
from cornellead_core.pacing import ArrivalTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.buffers import BufferBudget
    from cornellead_core.buffers import BufferOwner

HIGH_WATER_BYTES = 64 << 10
"""Number of unread response bytes above which the connection stops reading from its socket."""
MAX_CHUNKS = 64
"""Number of unread pieces of a body that are kept apart: an object takes more than a short one."""


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: Mapping[str, str]
    """Names in lower case."""
    raw: tuple[tuple[bytes, bytes], ...] = ()
    """All headers as received, in order."""


class Exchange:
    """Response to one request; the connection writes to it and a single task reads from it.

    :param abort: Closes the connection.
    :param resume_reading: Makes the connection read again after it paused for back-pressure.
    :param budget: Bounds what all responses hold together; ``None`` for a response that others must
        not end.
    :param owner: Sender of the response.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        abort: Callable[[], None],
        resume_reading: Callable[[], None],
        budget: BufferBudget | None = None,
        owner: BufferOwner = UNKNOWN_OWNER,
    ) -> None:
        self._loop = loop
        self._abort = abort
        self._resume_reading = resume_reading
        self._budget = budget
        self._owner = owner
        self._head_bytes = 0
        self._held_bytes = 0
        self._head: ResponseHead | None = None
        self.has_unread_head = False
        """Whether status and headers arrived that `head` has not returned yet."""
        self._chunks: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._sink: Callable[[bytes], bool] | None = None
        self.pending_bytes = 0
        self.complete = False
        self.broken = False
        self.close_delimited = False
        """Whether the response has neither a length nor chunks, and its connection has closed."""
        self._on_closed: Callable[[], None] = lambda: None
        self.dropped = False
        """Whether the response was given up because all of them held too much."""
        self.on_dropped: Callable[[], None] = lambda: None
        """Called when `dropped` becomes true."""
        self.sent_at = loop.time()
        self.first_byte_at: float | None = None
        """Event loop time, in seconds, at which the first body bytes arrived."""

    async def head(self) -> ResponseHead | None:
        """Wait for status and headers.

        :returns: ``None`` if the connection broke before they arrived.
        """
        while self._head is None:
            if self.broken:
                return None
            await self._wait()
        self.has_unread_head = False
        return self._head

    @property
    def received_head(self) -> ResponseHead | None:
        """Status and headers if they have arrived, also before `head` returns them."""
        return self._head

    async def wait_for_head(self, *, timeout_s: float) -> None:
        """Wait until status and headers arrive, the connection breaks or the time is over.

        Unlike `head` this may be cancelled: another task reads the response then.
        """
        if self._head is not None or self.broken:
            return
        waiter = self._waiter = self._loop.create_future()
        timer = self._loop.call_later(timeout_s, self.wake)
        try:
            await waiter
        finally:
            timer.cancel()
            if self._waiter is waiter:
                self._waiter = None

    async def read(self, *, keep: bool = False) -> bytes | None:
        """Wait for body bytes.

        :param keep: Whether the reader keeps the bytes for now; `hold` tells what becomes of them.
        :returns: All bytes received since the last call, ``b""`` at the end of a complete response,
            or ``None`` if the connection broke.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self.broken:
                return None
            await self._wait()
        return self.read_available(keep=keep)

    def read_available(self, *, keep: bool = False) -> bytes:
        """Return the body bytes received since the last call without waiting; may be empty.

        :param keep: As for `read`.
        """
        chunks = self._chunks
        if not chunks:
            return b""
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        if self.pending_bytes > HIGH_WATER_BYTES:
            self._resume_reading()
        self.pending_bytes = 0
        if keep:
            self._held_bytes += len(data)
        self._record_size()
        return data

    def set_sink(self, sink: Callable[[bytes], bool]) -> None:
        """Set a callback that gets body bytes as they arrive, unless earlier bytes are unread.

        :param sink: Returns whether it consumed the bytes. If not, they are kept for
            `read_available`.
        """
        self._sink = sink

    def clear_sink(self) -> None:
        """Remove the callback; it usually refers to this object, which is a reference cycle."""
        self._sink = None

    async def wait(self) -> None:
        """Wait until unread bytes are available, the response ends, or `wake` is called."""
        if not self._chunks and not self.complete and not self.broken:
            await self._wait()

    def wake(self) -> None:
        """Make `wait` return."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read_all(
        self, *, limit: int, on_progress: Callable[[int], None] | None = None
    ) -> bytes | None:
        """Read the whole body.

        :param limit: Maximum size in bytes; a longer body closes the connection.
        :param on_progress: Called with the size so far whenever bytes arrive.
        :returns: ``None`` if the body is incomplete or too long.
        """
        body = bytearray()
        try:
            while True:
                data = await self.read(keep=True)
                if data is None:
                    return None
                if not data:
                    return bytes(body)
                if len(body) + len(data) > limit:
                    self.abort()
                    return None
                body += data
                if on_progress is not None:
                    on_progress(len(body))
        finally:
            self.hold(0)

    def hold(self, size: int) -> None:
        """Count bytes that the reader has read and keeps, such as an incomplete event."""
        self._held_bytes = size
        self._record_size()

    def drop_buffer(self) -> None:
        """Give the response up, since all of them hold too much; called by the budget."""
        self.dropped = True
        if self.complete:
            # Its connection may carry another request by now.
            self.complete = False
            self.broken = True
            self._release_buffer()
            self.wake()
        else:
            self.abort()
        self.on_dropped()

    def abort(self) -> None:
        """Close the connection and mark the response as broken, unless it is complete."""
        if not self.complete:
            self.broken = True
            self._abort()
            self._release_buffer()
            self.wake()
        self.hold(0)

    def abort_at(self, deadline: float) -> ArrivalTimer:
        """Abort at a deadline, behind what has arrived until then.

        :param deadline: Event loop time in seconds.
        :returns: Timer that the caller cancels.
        """
        delay_s = deadline - self._loop.time()
        return ArrivalTimer(loop=self._loop, delay_s=delay_s, action=self.abort)

    def receive_head_bytes(self, size: int) -> None:
        """Count the bytes of a head or trailer; called by the connection."""
        self._head_bytes = size
        self._record_size()

    def receive_head(self, head: ResponseHead) -> None:
        """Store status and headers; called by the connection."""
        self._head = head
        self.has_unread_head = True
        self.wake()

    def receive_body(self, data: bytes) -> None:
        """Pass body bytes to the sink or store them; called by the connection."""
        if self.first_byte_at is None:
            self.first_byte_at = self._loop.time()
        if self._sink is not None and not self._chunks and self._sink(data):
            return
        self._chunks.append(data)
        if len(self._chunks) > MAX_CHUNKS:
            self._chunks = [b"".join(self._chunks)]
        self.pending_bytes += len(data)
        self._record_size()
        self.wake()

    def set_closed_callback(self, callback: Callable[[], None]) -> None:
        """Set what is called once the end of the connection has ended the response, or call it now
        if that has happened."""
        if self.close_delimited:
            callback()
        else:
            self._on_closed = callback

    def finish_by_close(self, *, complete: bool) -> None:
        """Record the end of a response that ends with its connection; called by the connection.

        :param complete: As for `finish`.
        """
        self.close_delimited = complete
        self.finish(complete=complete)
        if complete:
            self._on_closed()

    def finish(self, *, complete: bool) -> None:
        """Record the end of the response; called by the connection.

        :param complete: ``False`` if the connection closed before the end of the response.
        """
        if self.complete or self.broken:
            return
        self.complete = complete
        self.broken = not complete
        self.wake()

    def _release_buffer(self) -> None:
        self._chunks = []
        self.pending_bytes = 0
        self._head_bytes = 0
        self.hold(0)

    def _record_size(self) -> None:
        if self._budget is not None:
            size = self._head_bytes + self.pending_bytes + self._held_bytes
            self._budget.record(self, size, owner=self._owner)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            # Nobody reads the rest of the response. The connection is closed, because the rest
            # could be mistaken for the response to another request.
            self.abort()
            raise
        finally:
            self._waiter = None
