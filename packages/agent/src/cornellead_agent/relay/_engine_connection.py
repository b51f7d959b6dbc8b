"""One HTTP/1.1 client connection to the agent's server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from cornellead_core.decoding import is_interim_status
from cornellead_core.pacing import PacedProtocol

if TYPE_CHECKING:
    from cornellead_core.buffers import BufferBudget
    from cornellead_core.pacing import ReadPacer

HIGH_WATER_BYTES = 64 * 1024
"""Unread response bytes above which reading from the socket is paused. The reader parses them in
one turn of the event loop."""
MAX_OVERHEAD_BYTES = 64 * 1024
"""Maximum number of bytes without a complete head or body data; the parser stores a header until
its end."""

MAX_HEADER_FIELDS = 256
"""Maximum number of header and trailer fields of a response: each takes some hundred bytes, however
short it is."""
MAX_PARTS = 64
"""Number of unread pieces of a body that are kept apart: an object takes more than a short one."""

NO_CONTENT = 204
NOT_MODIFIED = 304


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: dict[str, str]


class EngineConnection(PacedProtocol):
    """Sends one request at a time and returns the raw bytes of the response body.

    An asyncio protocol with the `httptools` parser instead of `httpx`, which needs 3 ms of CPU
    for a stream of 50 chunks. The ``on_`` methods are callbacks of the parser.

    Each connection has its own share of a turn, since all lead to the same server.

    :param pacer: Shares the reads of a process among peers.
    :param budget: Bounds what all responses hold together; ``None`` for one that others must not
        end.
    """

    def __init__(self, *, pacer: ReadPacer, budget: BufferBudget | None = None) -> None:
        super().__init__(pacer=pacer)
        self._budget = budget
        self._held_bytes = 0
        self._field_count = 0
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._read_parts: list[bytes] = []
        """Pieces of the body in the read that is being parsed."""
        self._body_parts: list[bytes] = []
        self._unread_bytes = 0
        self._overhead_bytes = 0
        self._response_head: ResponseHead | None = None
        self._complete = False
        self._ends_at_eof = False
        self._waiter: asyncio.Future[None] | None = None
        self.close_delimited = False
        """Whether the response has neither a length nor chunks, and its connection has closed."""
        self.sent = False
        """Whether a request was written to the transport."""
        self.shared = False
        """Whether other requests may use the connection."""
        self.closed = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader, which finds an incomplete response unless its end was received."""
        super().connection_lost(exc)
        self.closed = True
        self._wake_reader()

    def consume(self, data: memoryview) -> None:
        """Feed the parser; pause reading while too much of the body is unread."""
        if self._complete:
            # Belongs to no request. More may follow that a later request could take for its own.
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
        self._join_read_parts()
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.abort()
        if self._unread_bytes > HIGH_WATER_BYTES:
            self.pause_reading()
        self._record_size()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Complete a response that has neither a length nor chunks, and close the connection.

        If the request was not sent as a whole, the server may have given up while it answered.
        """
        if self._ends_at_eof and not self.closed and not self.unacknowledged_bytes():
            self._complete = self.close_delimited = True
        return False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a response header.

        :raises ValueError: There are too many; the parser reports that as an error of its own.
        """
        self._field_count += 1
        if self._field_count > MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store status and headers for `read_head`, except those of an interim response.

        :raises ValueError: The status is not valid; the parser reports that as an error of its own.
        """
        if is_interim_status(self._parser.get_status_code()):
            self._headers = {}
            self._field_count = 0
            return
        self._overhead_bytes = 0
        status = self._parser.get_status_code()
        self._ends_at_eof = (
            "content-length" not in self._headers
            and "transfer-encoding" not in self._headers
            and status not in (NO_CONTENT, NOT_MODIFIED)
        )
        self._response_head = ResponseHead(status, self._headers)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the response body; a server may send each byte in its own chunk."""
        self._overhead_bytes = 0
        self._read_parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response complete: its content length or its last chunk was received."""
        self._complete = self._response_head is not None

    def send(self, head: bytes, body: bytes) -> None:
        """Reset the response state and write a request."""
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._response_head = None
        self._complete = False
        self._ends_at_eof = False
        self._body_parts.clear()
        self._unread_bytes = 0
        self._overhead_bytes = 0
        self._field_count = 0
        self.sent = True
        self._transport.write(head + body)

    async def read_head(self) -> ResponseHead | None:
        """Wait for status and headers; ``None`` if the connection closed before them."""
        while self._response_head is None and not self.closed:
            await self._wait_for_data()
        return self._response_head

    async def read(self) -> bytes:
        """Wait for body bytes.

        :returns: Empty at the end of the response or when the connection closed; `complete` is
            true only at the end of the response.
        """
        while not self._body_parts and not self._complete and not self.closed:
            await self._wait_for_data()
        data = (
            b"".join(self._body_parts)
            if len(self._body_parts) > 1
            else b"".join(self._body_parts[:1])
        )
        self._body_parts.clear()
        self._unread_bytes = 0
        if self._paused:
            self.resume_reading()
        self._record_size()
        return data

    async def read_all(self, *, limit: int) -> bytes | None:
        """Read the whole body.

        :param limit: Maximum size in bytes; a longer body closes the connection.
        :returns: ``None`` if the body is incomplete or too long.
        """
        body = bytearray()
        try:
            while not self.complete:
                data = await self.read()
                if not data and not self.complete:
                    return None
                body += data
                if len(body) > limit:
                    self.abort()
                    return None
                self.hold(len(body))
        finally:
            self.hold(0)
        return bytes(body)

    def hold(self, size: int) -> None:
        """Count bytes that the reader has read and keeps, such as an incomplete event."""
        self._held_bytes = size
        self._record_size()

    def drop_buffer(self) -> None:
        """Give the response up, since all of them hold too much; called by the budget."""
        self._body_parts.clear()
        self._unread_bytes = 0
        self._complete = False
        self.abort()

    @property
    def complete(self) -> bool:
        """Whether the whole response was received and its body read."""
        return self._complete and not self._body_parts

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.complete
            and not self.closed
            and self._transport is not None
            and not self._transport.is_closing()
            and self._parser.should_keep_alive()
            and not self.unwritten_bytes()
        )

    def abort(self) -> None:
        """Close the connection immediately and wake the reader."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        self._wake_reader()

    def _join_read_parts(self) -> None:
        """Queue what the read had of the body for `read`."""
        parts, self._read_parts = self._read_parts, []
        if not parts:
            return
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        self._body_parts.append(body)
        if len(self._body_parts) > MAX_PARTS:
            self._body_parts = [b"".join(self._body_parts)]
        self._unread_bytes += len(body)

    def _record_size(self) -> None:
        if self._budget is not None:
            size = self._overhead_bytes + self._unread_bytes + self._held_bytes
            self._budget.record(self, size)

    async def _wait_for_data(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
