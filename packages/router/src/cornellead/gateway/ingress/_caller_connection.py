"""One connection of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from cornellead.gateway.ingress._request_parser import Rejection
from cornellead.gateway.ingress._request_parser import RequestParser
from cornellead.gateway.ingress._response_writer import LAST_CHUNK
from cornellead.gateway.ingress._response_writer import encode_chunk
from cornellead.gateway.ingress._response_writer import encode_head
from cornellead.gateway.ingress._serving_phase import ServingPhase

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.ingress._caller_request import CallerRequest
    from cornellead.gateway.ingress._response_writer import ResponseWriter
    from cornellead.gateway.ingress._serving import Serving
    from cornellead_core.routing import CallerLimits

IDLE_SLACK_S = 1.0
"""Time beyond the idle timeout before a connection is closed, so that a request that crosses the
close is rare."""
LINGER_S = 1.0
"""Time for a caller to read a response after which the connection closes."""
MAX_PIPELINED = 4
"""Whole requests that may wait behind the one in progress."""
WRITE_HIGH_WATER_BYTES = 64 << 10
"""Unsent bytes above which a stream waits for its caller."""


class RequestHandler(Protocol):
    """Serves one request."""

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Write one response; cancelled when the caller leaves."""
        ...


class CallerConnection(asyncio.Protocol):
    """Reads requests, has them handled one after the other, and writes the responses.

    :param limits: Returns the limits in force; read anew for each request.
    :param clock: Returns seconds; counts the time for which the host was suspended.
    :param on_closed: Called when the connection is gone.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        serving: Serving,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        on_closed: Callable[[CallerConnection], None],
    ) -> None:
        self._handler = handler
        self._serving = serving
        self._read_limits = limits
        self._limits = limits()
        self._clock = clock
        self._on_closed = on_closed
        self._parser = RequestParser(limits=self._limits)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._close_after = False
        self._closing = False
        self._continued = False
        self.started = False

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or arriving."""
        return self._task is None and not self._parser.started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._arm(self._limits.idle_timeout_s + IDLE_SLACK_S, self._end_idle)

    def data_received(self, data: bytes) -> None:
        """Parse requests and start the first."""
        if self._closing:
            return
        idle = self.idle
        if idle:
            self._limits = self._parser.limits = self._read_limits()
        self._parser.feed(data, now=self._clock())
        if idle and self._parser.started:
            self._arm(self._limits.header_timeout_s, self._time_out)
        if self._parser.rejection is not None:
            if self._task is None and not self._parser.requests:
                self._reject(self._parser.rejection)
        elif self._parser.expects_continue and not self._continued and self._task is None:
            self._continued = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._task is None and not self._closing:
            self._next()
            if self._task is None and self._parser.started and not self._parser.in_headers:
                self._arm(self._limits.idle_timeout_s, self._time_out)
        if len(self._parser.requests) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the request in progress: its caller is gone."""
        del exc
        self._closing = True
        self._disarm()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._parser.close()
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Let streams wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let streams go on."""
        self._writable.set()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.idle:
            self._end_idle()

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a whole response."""
        self.started = True
        self._close_after = self._close_after or self._leaving
        head = encode_head(status, headers, length=len(body), close=self._close_after)
        self._write(head + body)

    def begin(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Write the head of a response whose length is not known."""
        self.started = True
        self._close_after = self._close_after or self._leaving
        self._write(encode_head(status, headers, length=None, close=self._close_after))

    async def write(self, data: bytes) -> None:
        """Write a part of the body, waiting while the caller reads slowly."""
        self._write(encode_chunk(data))
        if not self._writable.is_set():
            await self._writable.wait()

    def end(self) -> None:
        """Finish a response that was begun."""
        self._write(LAST_CHUNK)

    def abort(self) -> None:
        """Break off a response that was begun, so that it cannot look complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def _leaving(self) -> bool:
        return self._serving.phase >= ServingPhase.LEAVING

    def _next(self) -> None:
        if not self._parser.requests:
            return
        req = self._parser.requests.pop(0)
        self._disarm()
        self.started = False
        self._continued = False
        self._close_after = "close" in req.header(b"connection").lower()
        self._serving.in_progress += 1
        self._task = asyncio.get_running_loop().create_task(self._serve(req))

    async def _serve(self, req: CallerRequest) -> None:
        try:
            await self._handler.handle(req, self)
        except asyncio.CancelledError:
            if not self._closing:
                raise
        except Exception:
            # One request must not end the others; the outcome of this one is not known.
            structlog.get_logger().exception("request handler failed")
            if not self.started:
                self.respond(500, (), b"")
            self._close_after = True
        finally:
            self._serving.in_progress -= 1
            self._task = None
        self._continue()

    def _continue(self) -> None:
        if self._closing:
            return
        if self._close_after or self._parser.rejection is not None:
            if self._parser.rejection is not None and not self._close_after:
                self._reject(self._parser.rejection)
                return
            self._close_gently()
            return
        if self._transport is not None:
            self._transport.resume_reading()
        self._next()
        if self._task is None:
            if self._parser.started:
                self._arm(self._limits.header_timeout_s, self._time_out)
            else:
                self._arm(self._limits.idle_timeout_s + IDLE_SLACK_S, self._end_idle)

    def _reject(self, rejection: Rejection) -> None:
        self._close_after = True
        self.respond(rejection, (), b"")
        self._close_gently()

    def _time_out(self) -> None:
        if self._task is None:
            self._reject(Rejection.REQUEST_TIMEOUT)

    def _end_idle(self) -> None:
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _close_gently(self) -> None:
        """Let the caller read the response before the connection closes.

        Closing with unread bytes would reset the connection and lose the response.
        """
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._arm(LINGER_S, self._transport.close)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _arm(self, delay_s: float, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(delay_s, action)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
