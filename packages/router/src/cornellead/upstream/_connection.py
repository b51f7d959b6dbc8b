"""One connection to an agent or a server."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from cornellead.upstream._exchange import HIGH_WATER_BYTES
from cornellead.upstream._exchange import Exchange
from cornellead.upstream._exchange import ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable


READ_BYTES = 64 << 10
_buffer = memoryview(bytearray(READ_BYTES))
"""Shared by all connections: one read is parsed before the next one starts.

Without it, each read allocates 256 KiB and shrinks it to the bytes that arrived, which fragments
the heap.
"""


NO_CONTENT = 204
NOT_MODIFIED = 304
KEEP_ALIVE_TIMEOUT = "timeout="


class EchoedHeader(NamedTuple):
    """A header that the response to a request repeats."""

    name: str
    """In lower case."""
    value: str


class Connection(asyncio.BufferedProtocol):
    """Sends one request at a time and pushes the parsed response into an `Exchange`.

    :param release: Called when a response is complete and the connection can be used again.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, release: Callable[[Connection], None]
    ) -> None:
        self._loop = loop
        self._release = release
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._exchange: Exchange | None = None
        self._headers: dict[str, str] = {}
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._expect: EchoedHeader | None = None
        self._skipping = False
        self._ends_with_connection = False
        self._paused = False
        self.idle_since = 0.0
        self.stated_idle_s: float | None = None
        """Time after which the server says that it closes an idle connection."""
        self.closed = False

    def limit_silence(self, timeout_ms: int) -> None:
        """Break the connection when sent bytes stay unacknowledged.

        :param timeout_ms: Longest time without an acknowledgement.
        """
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def send(self, head: bytes, body: bytes, *, expect: EchoedHeader | None = None) -> Exchange:
        """Write a request.

        :param head: Request line and headers with the final empty line.
        :param expect: Responses with another value of this header are dropped.
        """
        assert self._transport is not None and self._exchange is None
        # A new parser for each response: nothing of an earlier response can leak into this one.
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._raw_headers = []
        self._expect = expect
        self._skipping = False
        self._ends_with_connection = False
        self._exchange = Exchange(loop=self._loop, abort=self.close, resume_reading=self._resume)
        self._transport.write(head + body)
        return self._exchange

    def close(self) -> None:
        """Close at once without sending pending bytes."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        del sizehint
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse response bytes."""
        exchange = self._exchange
        if exchange is None or self._parser is None:
            # Bytes without a request: a late or duplicated response must not reach another one.
            self.close()
            return
        try:
            self._parser.feed_data(_buffer[:nbytes])
        except httptools.HttpParserError:
            self._fail()
            return
        if exchange.pending_bytes > HIGH_WATER_BYTES and not self._paused and not self.closed:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close after the other side closed; some responses end that way."""
        if self._ends_with_connection and self._exchange is not None:
            self._exchange.finish(complete=True)
            self._exchange = None
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an incomplete response as broken."""
        del exc
        self.closed = True
        self._fail()
        # The parser refers back to this object.
        self._parser = None

    def on_message_begin(self) -> None:
        """Reject a second response to the same request."""
        if self._exchange is None or self._exchange.complete:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._raw_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Publish status and headers."""
        if self._exchange is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._forget_headers()
            return
        expect = self._expect
        if expect is not None and self._headers.get(expect.name) not in (None, expect.value):
            self._skipping = True
            return
        self._read_keep_alive()
        self._ends_with_connection = (
            "content-length" not in self._headers
            and "transfer-encoding" not in self._headers
            and status not in (NO_CONTENT, NOT_MODIFIED)
        )
        self._exchange.put_head(ResponseHead(status, self._headers, tuple(self._raw_headers)))

    def on_body(self, data: bytes) -> None:
        """Publish body bytes."""
        if self._exchange is not None and not self.closed and not self._skipping:
            self._exchange.put_body(data)

    def on_message_complete(self) -> None:
        """Finish the exchange and offer the connection for the next request."""
        exchange, parser = self._exchange, self._parser
        if exchange is None or parser is None or parser.get_status_code() < 200:
            return
        if self._skipping:
            self._skipping = False
            self._forget_headers()
            return
        exchange.finish(complete=True)
        self._exchange = None
        # The rest of this read may hold another response; its headers must not change these.
        self._forget_headers()
        if not parser.should_keep_alive() or self.closed:
            self.close()
            return
        self._resume()
        # Released from the loop, not here: the rest of this read may hold bytes that close it.
        self._loop.call_soon(self._offer)

    def _offer(self) -> None:
        if not self.closed:
            self._release(self)

    def _forget_headers(self) -> None:
        self._headers = {}
        self._raw_headers = []

    def _read_keep_alive(self) -> None:
        for item in self._headers.get("keep-alive", "").split(","):
            text = item.strip().lower()
            if text.startswith(KEEP_ALIVE_TIMEOUT):
                seconds = text.removeprefix(KEEP_ALIVE_TIMEOUT)
                self.stated_idle_s = float(seconds) if seconds.isdecimal() else None

    def _resume(self) -> None:
        if self._paused and self._transport is not None and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    def _fail(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.finish(complete=False)
        if not self.closed:
            self.close()
