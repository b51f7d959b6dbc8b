"""Server side of an HTTP/1.1 connection that bounds what its caller can make the process hold."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import httptools
import structlog
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

from cornellead_core.buffers import FIELD_OVERHEAD_BYTES
from cornellead_core.buffers import MIN_RECORDED_BYTES
from cornellead_core.buffers import UNKNOWN_OWNER
from cornellead_core.buffers import BufferOwner
from cornellead_core.buffers import HeldBytes
from cornellead_core.pacing import ArrivalTimer
from cornellead_core.serving._rejection import Rejection
from cornellead_core.serving._request_ledger import RequestLedger
from cornellead_core.serving._response_output import ResponseOutput

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from uvicorn._types import HTTPScope
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from cornellead_core.serving._http_serving import HttpServing

MAX_REQUESTS_AHEAD = 4
"""Requests behind the one in progress above which nothing more is parsed."""
PIECE_BYTES = 256
"""Bytes that are parsed at once outside a body of known length. A piece may complete 14 of the
shortest requests, each of which takes some 3 KB of state."""
LINGER_TIMEOUT_S = 1.0
"""Time from a rejection to the close, in which the caller reads it."""
_BODY_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


class PacedHttpProtocol(ResponseOutput):
    """Uvicorn's protocol with bounds on what it reads, parses and keeps.

    Uvicorn parses all that was read, and builds the state of each request before the first is
    answered. Here what was read is parsed in small pieces, and the rest waits unparsed, with
    reading paused, once `MAX_REQUESTS_AHEAD` requests wait behind the one in progress.

    :param serving: Bounds and counters of all connections of the process.
    :param options: What uvicorn passes to its protocol.
    """

    def __init__(self, *, serving: HttpServing, **options: Any) -> None:
        super().__init__(serving=serving, **options)
        self._owner = UNKNOWN_OWNER
        self._held = HeldBytes(budget=serving.budget)
        self._requests = RequestLedger()
        self._active: RequestResponseCycle | None = None
        """The request in progress; `cycle` is the last one whose head was parsed."""
        self._input = b""
        """Received bytes that are not parsed yet."""
        self._blocked = False
        """Whether reading waits until a request is answered."""
        self._ended = False
        """Whether the parser has read its last request."""
        self._in_message = False
        """Whether a request was parsed in part."""
        self._in_body = False
        """Whether its head is complete."""
        self._body_left = 0
        """Bytes of its body that are still to come, if their number is known."""
        self._overhead_bytes = 0
        """Bytes parsed without a complete head or body data."""
        self._rejection: Rejection | None = None
        """Answer to the caller behind the request in progress."""
        self._timer: ArrivalTimer | None = None

    @property
    def address(self) -> str:
        """Address of the caller, empty until it is known."""
        return self._owner.server

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return not self._busy and (self._in_body or not self._in_message)

    @property
    def settled(self) -> bool:
        """Whether closing the connection would cut off neither a request nor a response."""
        return not self._busy and not self.unsent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout, unless a bound is reached; called by asyncio."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        self._serving.connections.add(self)
        if self.transport.is_closing():
            return
        if self.client is not None:
            self._owner = BufferOwner(server=self.client[0])
            self._serving.connections.count_address(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress, and drop all others; called by asyncio."""
        self._input = b""
        self._cancel_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)
        self.pipeline.clear()
        self._cut_active()
        self._held.end()
        self._held.record(self, 0, owner=self._owner)
        self._serving.connections.remove(self)

    def consume(self, data: memoryview) -> None:
        """Parse received bytes, as far as the bounds allow."""
        if self._closing:
            return
        self._input += bytes(data)
        self._parse_input()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or partly received."""
        if self.idle:
            self.transport.close()

    def drop_buffer(self) -> None:
        """Give up unread responses, or requests that have not begun; called by the budget."""
        log = structlog.get_logger()
        unread_bytes, request_bytes = self._unsent_bytes(), self._request_bytes()
        if self._closing or unread_bytes > request_bytes:
            log.warning("unread responses hold too much", unread_bytes=unread_bytes)
            self.abort()
            return
        log.warning("unfinished requests hold too much", rejected_bytes=request_bytes)
        self._reject(Rejection.NO_ROOM)

    def on_message_begin(self) -> None:
        """Begin with a request; called by the parser.

        :raises ValueError: The request before was rejected, so nothing more is read.
        """
        if self._rejection is not None:
            raise ValueError("the connection closes")
        super().on_message_begin()
        self._in_message, self._in_body = True, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailers are dropped. Called by the parser."""
        if not self._in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, or let it wait behind others; called by the parser.

        The parser ends at the head of a request that offers another protocol, which would run
        without its body.

        :raises ValueError: The request has to be rejected with 400.
        """
        if self.parser.should_upgrade() and any(name in _BODY_FIELDS for name, _ in self.headers):
            raise ValueError("a request with a body offers another protocol")
        super().on_headers_complete()
        if not self._busy:
            self._active = self.cycle
        self._in_body = True
        self._requests.begin(self._overhead_bytes + FIELD_OVERHEAD_BYTES * len(self.headers))
        self._overhead_bytes = 0
        lengths = [value for name, value in self.headers if name == b"content-length"]
        self._body_left = int(lengths[0]) if lengths else 0

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._overhead_bytes = 0
        self._body_left = max(0, self._body_left - len(body))
        if not self.cycle.response_complete:
            self._requests.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request; called by the parser."""
        super().on_message_complete()
        self._in_message = self._in_body = False
        self._overhead_bytes = self._body_left = 0
        if self.cycle is self._active and not self.cycle.response_complete:
            self._pin_active()

    def on_response_complete(self) -> None:
        """Go on with the next request; called by uvicorn.

        What is unread below the high-water mark would else keep a closed connection open for ever.
        """
        self._held.end()
        self._requests.end()
        self._active = self.pipeline[-1][0] if self.pipeline else None
        super().on_response_complete()
        if self.unsent:
            self._start_watch()
        if self._active is not None and not self._active.more_body:
            self._pin_active()
        if self.closing:
            return
        if self._rejection is not None and not self._busy:
            self._write_rejection()
            return
        self._parse_input()

    @property
    def _busy(self) -> bool:
        """Whether a request is in progress."""
        return self._active is not None and not self._active.response_complete

    @property
    def _full(self) -> bool:
        """Whether enough waits behind the request in progress."""
        if self._ended or self._rejection is not None or len(self.pipeline) > MAX_REQUESTS_AHEAD:
            return True
        return bool(self.pipeline) and len(self.cycle.body) >= HIGH_WATER_LIMIT

    def _may_read(self) -> bool:
        return super()._may_read() and not self._blocked

    def _parse_input(self) -> None:
        while self._input and not self._full and not self.closing:
            size = max(PIECE_BYTES, self._body_left)
            piece, self._input = self._input[:size], self._input[size:]
            self._parse(piece)
        if self.closing:
            return
        self._blocked = self._full
        self._update_reading()
        self._update_timer()
        self._record_held()

    def _parse(self, data: bytes) -> None:
        self._overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The parser reads nothing behind such a head, so its response is the last one.
            self.cycle.keep_alive = False
            self._ended = True
            self._input = b""
        except httptools.HttpParserError:
            self._reject(Rejection.BAD_REQUEST)
            return
        if self._busy:
            self._unset_keepalive_if_required()
        if self._overhead_bytes > self._serving.max_head_bytes:
            self._reject(Rejection.HEADERS_TOO_LARGE)

    def _update_timer(self) -> None:
        """Bound the time of a request that has arrived in part and is not in progress."""
        if self._busy or not self._in_message:
            self._cancel_timer()
            return
        self._unset_keepalive_if_required()
        if self._timer is None:
            self._timer = ArrivalTimer(
                loop=self.loop, delay_s=self._serving.head_timeout_s, action=self._on_timeout
            )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._in_body:
            # It was answered before its body, the rest of which is not worth waiting for.
            self.transport.close()
        else:
            self._reject(Rejection.REQUEST_TIMEOUT)

    def _pin_active(self) -> None:
        """Count a whole request that runs, or reject it if there is no room."""
        size = self._requests.active_bytes
        if size < MIN_RECORDED_BYTES:
            return
        self._record_held()
        if not self._closing and not self._held.try_begin(size):
            headers = self._active.scope["headers"] if self._active is not None else ()
            self._cut_active()
            self._reject(Rejection.NO_ROOM, headers)

    def _cut_active(self) -> None:
        """End the request in progress without a response, as if its caller had left."""
        if self._active is not None and not self._active.response_complete:
            self._active.disconnected = True
            self._active.message_event.set()
        self._active = None

    def _reject(self, rejection: Rejection, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Read no further, and reject what has not begun behind the request in progress.

        :param headers: Those of the request that is rejected, if its head is complete.
        """
        if self._rejection is not None or self._closing:
            return
        self._rejection = rejection
        self._input = b""
        self.pipeline.clear()
        self._requests.drop_waiting()
        if self._busy and self.cycle is self._active and self._in_body:
            # The application still waits for the body.
            if self.cycle.response_started:
                self.abort()
                return
            headers = self.cycle.scope["headers"]
            self._cut_active()
        # What was parsed of the rejected request would else be kept until the connection closes.
        self.cycle = cast("RequestResponseCycle", self._active)
        self.headers, self.scope = [], cast("HTTPScope", {})
        self._in_message = self._in_body = False
        if not self._busy:
            self._requests.clear()
            self._write_rejection(headers)
        else:
            self._blocked = True
            self._update_reading()

    def _write_rejection(self, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        assert self._rejection is not None
        self.transport.write(self._serving.encode_rejection(self._rejection, list(headers)))
        self._close_after_linger()

    def _close_after_linger(self) -> None:
        """Half-close the connection, and close it after `LINGER_TIMEOUT_S`.

        Closing at once while received bytes are unread would reset the connection, and the caller
        could lose the response.
        """
        self._closing = True
        self._held.end()
        self._held.record(self, 0, owner=self._owner)
        self._cancel_timer()
        self._unset_keepalive_if_required()
        if self.transport.is_closing():
            return
        self._blocked = False
        self.resume_reading()
        self.transport.write_eof()
        self._start_watch()
        self._timer = ArrivalTimer(
            loop=self.loop, delay_s=LINGER_TIMEOUT_S, action=self.transport.close
        )

    def _record_held(self) -> None:
        size = self._request_bytes()
        if self._watch is not None:
            size += self._unsent_bytes()
        self._held.record(self, size, owner=self._owner)

    def _request_bytes(self) -> int:
        """Return what is held of requests that have not arrived as a whole, or not begun."""
        size = self._requests.waiting_bytes + len(self._input)
        if self._active is self.cycle and self._in_body:
            size += self._requests.active_bytes
        if self._in_message and not self._in_body:
            size += self._overhead_bytes + FIELD_OVERHEAD_BYTES * len(self.headers)
        return size
