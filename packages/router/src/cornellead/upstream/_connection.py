"""HTTP/1.1 connection to an agent or a server."""

from __future__ import annotations

import select
import socket
import struct
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from cornellead.upstream._exchange import HIGH_WATER_BYTES
from cornellead.upstream._exchange import Exchange
from cornellead.upstream._exchange import ResponseHead
from cornellead_core.buffers import BufferOwner
from cornellead_core.decoding import is_interim_status
from cornellead_core.pacing import PacedProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cornellead_core.buffers import BufferBudget
    from cornellead_core.pacing import ReadPacer

MAX_OVERHEAD_BYTES = 64 << 10
"""Maximum number of bytes without a complete head or body data: long headers, interim responses,
chunk extensions or trailers. The parser stores a header until its end."""
MAX_HEADER_FIELDS = 256
"""Maximum number of header and trailer fields of a response: each takes some hundred bytes, however
short it is."""
MAX_DISCARDED_BYTES = 1 << 20
"""Maximum size of late responses to earlier requests that are skipped."""
MAX_UNSUCCESSFUL_IDS = 32
"""Ids of unsuccessful requests that a connection remembers; above it, the connection is closed."""
LINGER_FOR_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close discards unsent bytes and resets the connection."""
NO_CONTENT = 204
FIRST_UNSUCCESSFUL_STATUS = 300
NOT_MODIFIED = 304
KEEP_ALIVE_TIMEOUT_PARAM = "timeout="


class EchoedHeader(NamedTuple):
    """Request header that the server repeats in the response, such as the request id."""

    name: str
    """In lower case."""
    value: str


class Connection(PacedProtocol):
    """Sends one request at a time and passes the parsed response on to an `Exchange`.

    :param release: Called when a response is complete and the connection can be reused.
    :param pacer: Shares the reads of a process among peers.
    :param address: ``ip:port``, the peer whose share the responses use.
    :param budget: Bounds what all responses hold together.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        release: Callable[[Connection], None],
        pacer: ReadPacer,
        address: str,
        budget: BufferBudget | None = None,
    ) -> None:
        super().__init__(pacer=pacer, peer=address)
        self._loop = loop
        self._release = release
        self._address = address
        self._budget = budget
        self._parser: httptools.HttpResponseParser | None = None
        self._exchange: Exchange | None = None
        self._headers: dict[str, str] = {}
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._expected_header: EchoedHeader | None = None
        self._discarding = False
        self._overhead_bytes = 0
        self._largest_head_bytes = 0
        self._discarded_bytes = 0
        self._ends_at_eof = False
        self._head_only = False
        """Whether the response ends with its head, as one to HEAD does."""
        self._body: list[bytes] = []
        """Pieces of the body in the read that is being parsed."""
        self._reused = False
        self._unsuccessful_ids: set[str] = set()
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None
        """Idle timeout that the server announced in its ``Keep-Alive`` header."""
        self.closed = False

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Make the kernel close the connection when sent bytes are not acknowledged.

        :param timeout_ms: Maximum time without an acknowledgement.
        """
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def send(
        self,
        head: bytes,
        body: bytes,
        *,
        expect: EchoedHeader | None = None,
        essential: bool = False,
        service: str = "",
    ) -> Exchange:
        """Send a request.

        :param head: Request line and headers, including the empty line at the end.
        :param expect: Responses in which this header has another value are discarded. On a reused
            connection, so are responses without it, since they may belong to an earlier request.
        :param essential: Whether the response is kept even if all responses hold too much.
        :param service: Service of the server, which shares what all responses may hold.
        """
        assert self._transport is not None and self._exchange is None
        # With a new parser for each response, no state of an earlier response can leak into it.
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._raw_headers = []
        self._expected_header = expect
        self._discarding = False
        self._overhead_bytes = 0
        self._largest_head_bytes = 0
        self._discarded_bytes = 0
        self._ends_at_eof = False
        self._head_only = head.startswith(b"HEAD ")
        self._exchange = Exchange(
            loop=self._loop,
            abort=self.close,
            resume_reading=self.resume_reading,
            budget=None if essential else self._budget,
            owner=BufferOwner(service, self._address),
        )
        self._transport.write(head + body)
        return self._exchange

    def has_unread_input(self) -> bool:
        """Return whether the server has sent something, or closed, and this was not read yet."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def is_open(self) -> bool:
        """Return whether an idle connection is open, and the server has sent nothing on it."""
        return not self.closed and not self.has_unread_input()

    def may_carry(self, expect: EchoedHeader | None) -> bool:
        """Return whether a response to this request can be told from late copies of earlier ones.

        A copy of an earlier refusal of the same request has the same id as the awaited response.
        """
        return expect is None or expect.value not in self._unsuccessful_ids

    def release(self) -> None:
        """Make the connection available for other requests, unless it is closed."""
        if not self.closed:
            self._release(self)

    def close(self) -> None:
        """Close immediately and discard unsent bytes.

        A connection with a request that was given up is reset: the kernel would go on sending what
        the server has not acknowledged, and a server behind a cut would get it seconds later.
        """
        self.closed = True
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if self._exchange is not None and sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_FOR_RESET)
        self._transport.abort()

    def consume(self, data: memoryview) -> None:
        """Parse received bytes and pause reading above the high-water mark."""
        exchange = self._exchange
        if exchange is None or self._parser is None:
            # No request is in progress. A late or duplicate response could be mistaken for the
            # response to the next request, so the connection is not reused.
            self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._pass_body_on()
            self._fail()
            return
        self._pass_body_on()
        if self._overhead_bytes > MAX_OVERHEAD_BYTES or self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail()
            return
        if self._overhead_bytes > self._largest_head_bytes:
            self._largest_head_bytes = self._overhead_bytes
            exchange.receive_head_bytes(self._largest_head_bytes)
        if self._exchange is exchange and exchange.pending_bytes > HIGH_WATER_BYTES:
            self.pause_reading()

    def eof_received(self) -> bool:
        """Complete a response that has no length, and close the connection.

        If the request was not sent as a whole, the server may have given up while it answered.
        """
        if self._ends_at_eof and self._exchange is not None:
            self._exchange.finish_by_close(complete=not self.unacknowledged_bytes())
            self._exchange = None
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark an incomplete response as broken."""
        super().connection_lost(exc)
        self.closed = True
        self._fail()
        # Breaks the reference cycle between the parser and this object.
        self._parser = None

    def on_message_begin(self) -> None:
        """Close the connection if this is a second response to the same request."""
        if self._exchange is None or self._exchange.complete:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header.

        :raises ValueError: There are too many; the parser reports that as an error of its own.
        """
        if len(self._raw_headers) >= MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")
        # The parser strips white space in front of a value only (RFC 9112, section 5.1).
        value = value.rstrip(b" \t")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._raw_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass status and headers on to the exchange.

        :raises ValueError: The status is not valid; the parser reports that as an error of its own.
        """
        if self._exchange is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if is_interim_status(status):
            self._reset_headers()
            return
        head_bytes, self._overhead_bytes = self._overhead_bytes, 0
        if not self._belongs_to_request():
            self._discarding = True
            self._discarded_bytes += head_bytes
            return
        if self._expected_header is not None and status >= FIRST_UNSUCCESSFUL_STATUS:
            self._unsuccessful_ids.add(self._expected_header.value)
        self._parse_keep_alive()
        self._ends_at_eof = (
            "content-length" not in self._headers
            and "transfer-encoding" not in self._headers
            and status not in (NO_CONTENT, NOT_MODIFIED)
        )
        self._exchange.receive_head(ResponseHead(status, self._headers, tuple(self._raw_headers)))
        if self._head_only:
            # The parser would take what follows for a body.
            self._exchange.finish(complete=True)
            self._exchange = None
            self.close()

    def on_body(self, data: bytes) -> None:
        """Collect body bytes; a server may send each byte in a chunk of its own."""
        self._overhead_bytes = 0
        if self._discarding:
            self._discarded_bytes += len(data)
        else:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Finish the exchange and release the connection for the next request."""
        exchange, parser = self._exchange, self._parser
        if exchange is None or parser is None or is_interim_status(parser.get_status_code()):
            return
        if self._discarding:
            self._discarding = False
            self._reset_headers()
            return
        self._pass_body_on()
        exchange.finish(complete=True)
        self._exchange = None
        # The rest of this read may contain another response. The exchange keeps the old header
        # objects, so new ones are created for the headers of that response.
        self._reset_headers()
        if not parser.should_keep_alive() or len(self._unsuccessful_ids) > MAX_UNSUCCESSFUL_IDS:
            self.close()
            return
        if self.unwritten_bytes():
            # The next request would wait behind the rest of this one.
            self.close()
            return
        if self.closed:
            return
        self._reused = True
        self.resume_reading()
        # The connection is released in the next iteration of the event loop, because the rest of
        # this read may contain unexpected bytes. They close the connection instead.
        self._loop.call_soon(self.release)

    def _belongs_to_request(self) -> bool:
        expected = self._expected_header
        if expected is None:
            return True
        value = self._headers.get(expected.name)
        return value == expected.value or (value is None and not self._reused)

    def _reset_headers(self) -> None:
        self._headers = {}
        self._raw_headers = []

    def _parse_keep_alive(self) -> None:
        for param in self._headers.get("keep-alive", "").split(","):
            text = param.strip().lower()
            if text.startswith(KEEP_ALIVE_TIMEOUT_PARAM):
                seconds = text.removeprefix(KEEP_ALIVE_TIMEOUT_PARAM)
                self.keep_alive_timeout_s = float(seconds) if seconds.isdecimal() else None

    def _pass_body_on(self) -> None:
        if not self._body:
            return
        body, self._body = self._body, []
        if self._exchange is not None and not self.closed:
            self._exchange.receive_body(body[0] if len(body) == 1 else b"".join(body))

    def _fail(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.finish(complete=False)
        if not self.closed:
            self.close()
