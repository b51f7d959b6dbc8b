"""HTTP/1.1 connection of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.ingress._request_parser import RejectionStatus
from cornellead.gateway.ingress._request_parser import RequestParser
from cornellead.gateway.ingress._request_timer import RequestTimer
from cornellead.gateway.ingress._response_output import ResponseOutput
from cornellead.gateway.ingress._response_writer import encode_head
from cornellead.gateway.ingress._serving_phase import ServingPhase
from cornellead_core.buffers import MIN_RECORDED_BYTES
from cornellead_core.buffers import UNKNOWN_OWNER
from cornellead_core.buffers import BufferBudget
from cornellead_core.buffers import BufferOwner
from cornellead_core.buffers import HeldBytes
from cornellead_core.pacing import UNREAD_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.ingress._caller_request import CallerRequest
    from cornellead.gateway.ingress._request_handler import RequestHandler
    from cornellead.gateway.ingress._serving_state import ServingState
    from cornellead_core.pacing import ReadPacer
    from cornellead_core.routing import CallerLimits

IDLE_TIMEOUT_MARGIN_S = 1.0
"""Time beyond the configured idle timeout after which a connection is closed: a caller that reuses
connections up to that timeout rarely sends a request just as the router closes."""
LINGER_TIMEOUT_S = 1.0
"""Time from the end of the last response to the close, in which the caller reads it."""
MAX_PIPELINED_REQUESTS = 4
"""Complete requests behind the one in progress above which reading is paused."""
WRITE_HIGH_WATER_BYTES = 64 << 10
"""Unsent bytes above which a streamed response waits for the caller to read."""
REFUSAL_COST_BYTES = 1024
"""What a refusal counts in the pacing of reads: as much work as parsing so many bytes."""
FIRST_REFUSAL_STATUS = 400


class CallerConnection(ResponseOutput):
    """Parses requests, passes them to the handler one at a time, and writes the responses.

    :param limits: Returns the limits in force; called again for each request on an idle connection.
    :param clock: Returns seconds, including the time for which the host was suspended.
    :param on_closed: Called once the connection is closed.
    :param pacer: Shares the reads of the process among peers.
    :param budget: Bounds what is held for all callers: requests and unread responses.
    :param unread_timeout_s: Time without a byte being read after which responses are given up.
    :param paced_status: Lowest status of responses whose number is paced for each address.
    :param on_opened: Called once the address of the caller is known.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        serving: ServingState,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        on_closed: Callable[[CallerConnection], None],
        pacer: ReadPacer,
        budget: BufferBudget | None = None,
        unread_timeout_s: float = UNREAD_TIMEOUT_S,
        paced_status: int = FIRST_REFUSAL_STATUS,
        on_opened: Callable[[CallerConnection], None] | None = None,
    ) -> None:
        super().__init__(pacer=pacer, unread_timeout_s=unread_timeout_s)
        self._paced_status = paced_status
        self._on_opened = on_opened
        self._held_back = False
        """Whether the next request waits since too many of this address were refused."""
        self._handler = handler
        self._serving = serving
        self._get_limits = limits
        self._limits = limits()
        self._clock = clock
        self._on_closed = on_closed
        self._held = HeldBytes(budget=budget or BufferBudget())
        self._owner = UNKNOWN_OWNER
        self._parser = RequestParser(limits=self._limits)
        self._task: asyncio.Task[None] | None = None
        self._timer = RequestTimer(limits=limits)
        self._caller_closes = False
        self._close_after_response = False
        self._continue_sent = False
        self._dropped_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        waiting = self._parser.has_partial_request or self._parser.requests
        return self._task is None and not waiting

    @property
    def address(self) -> str:
        """Address of the caller, empty until it is known."""
        return self._owner.server

    @property
    def settled(self) -> bool:
        """Whether closing the connection would cut off neither a request nor a response."""
        answered = self.idle or (self._closing and self._task is None)
        return answered and (
            self._transport is None or self._transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout for the first request."""
        super().connection_made(transport)
        assert self._transport is not None
        if self._closing:
            # Evicted, or finished by a stop, between its accept and this call.
            self._transport.close()
            return
        peer = self._transport.get_extra_info("peername")
        if peer:
            self._owner = BufferOwner(server=str(peer[0]))
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._timer.start_idle(self._close_transport, margin_s=IDLE_TIMEOUT_MARGIN_S)
        if self._on_opened is not None:
            self._on_opened(self)

    def consume(self, data: memoryview) -> None:
        """Parse received bytes."""
        self.data_received(bytes(data))

    def data_received(self, data: bytes) -> None:
        """Parse requests, and start the first unless one is in progress."""
        if self._closing:
            self._dropped_bytes += len(data)
            return
        idle = self.idle
        if idle:
            self._limits = self._parser.limits = self._get_limits()
        self._parser.feed(data, now=self._clock())
        if idle and self._parser.has_partial_request:
            self._timer.start(self._limits.header_timeout_s, self._on_request_timeout)
        rejection = self._parser.rejection
        if rejection is not None and self._task is None and not self._parser.requests:
            self._reject(rejection)
        if self._task is None and not self._closing:
            self._start_next_request()
            self._send_continue()
            if (
                self._task is None
                and self._parser.has_partial_request
                and not self._parser.reading_headers
            ):
                self._timer.start(self._limits.idle_timeout_s, self._on_request_timeout)
        if len(self._parser.requests) > MAX_PIPELINED_REQUESTS:
            self.pause_reading()
        self._record_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since nobody can receive its response."""
        super().connection_lost(exc)
        self._closing = True
        if self._dropped_bytes:
            structlog.get_logger().warning(
                "bytes behind the last response were dropped",
                bytes=self._dropped_bytes,
                close_announced=self._close_after_response,
            )
        self._timer.cancel()
        self._stop_watch()
        self._pacer.forget(self, self._owner)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._parser.close()
        self._held.record(self, 0, owner=self._owner)
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Block streamed responses and further requests: too much is unread."""
        self._writable.clear()
        self._watch_unread()

    def resume_writing(self) -> None:
        """Unblock streamed responses and further requests."""
        self._writable.set()
        if self._watch is not None:
            self._watch.record_progress()
        self._record_held()
        if self._task is None and not self._closing:
            self._go_on()

    def set_throttled(self, throttled: bool) -> None:
        """Wait for a turn, or go on with requests that wait for one."""
        super().set_throttled(throttled)
        if self._held_back and not throttled:
            self._held_back = False
            if self._task is None and not self._closing:
                self._go_on()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or partly received."""
        if self.idle:
            self._close_transport()

    def finish(self) -> None:
        """Close the connection if nothing is in progress on it and no close is under way.

        A request that crosses the close is not read: its caller gets a reset.
        """
        if not self._closing:
            self.close_idle()

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a complete response."""
        self.started = True
        self._close_if_stopping()
        self._response_complete = True
        head = encode_head(status, headers, length=len(body), close=self._close_after_response)
        self._write(head if self._head_only else head + body)
        if status >= self._paced_status and not self._throttled:
            self._pacer.charge(self, self._owner, REFUSAL_COST_BYTES)
            self._held_back = self._throttled

    def begin(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Write the head of a chunked response."""
        self.started = True
        self._close_if_stopping()
        self._write(encode_head(status, headers, length=None, close=self._close_after_response))

    def drop_buffer(self) -> None:
        """Give up what is held for the caller: unread responses, or requests that have not been
        started; called by the budget."""
        log = structlog.get_logger()
        unsent_bytes = self._unsent_bytes()
        if self._closing or unsent_bytes > self._parser.held_bytes:
            log.warning("unread responses hold too much", unread_bytes=unsent_bytes)
            self.abort()
            return
        log.warning("unfinished requests hold too much", rejected_bytes=self._parser.held_bytes)
        self._serving.dropped += len(self._parser.requests)
        self._parser.requests.clear()
        self._parser.drop_partial_request()
        if self._task is None and not self._closing:
            self._reject(RejectionStatus.NO_ROOM)

    def _close_if_stopping(self) -> None:
        # Requests that were read behind this one are answered before the connection closes.
        if self._serving.phase >= ServingPhase.LEAVING and not self._parser.has_input:
            self._close_after_response = True

    def _start_next_request(self) -> None:
        if not self._parser.requests or self._held_back or not self._writable.is_set():
            return
        req = self._parser.requests.pop(0)
        self._timer.cancel()
        self._head_only = req.method == b"HEAD"
        if req.held_bytes >= MIN_RECORDED_BYTES:
            self._record_held()
            if not self._held.try_begin(req.held_bytes):
                self._drop_requests()
                self._reject(RejectionStatus.NO_ROOM)
            if self._closing:
                # Also if this connection was the one that had to make room.
                self._held.end()
                return
        self.started = False
        self._response_complete = False
        self._continue_sent = False
        self._caller_closes = "close" in req.header(b"connection").lower()
        self._close_after_response = self._caller_closes
        self._serving.in_progress += 1
        self._task = asyncio.get_running_loop().create_task(self._serve(req))

    async def _serve(self, req: CallerRequest) -> None:
        try:
            await self._handler.handle(req, self)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or not task.cancelling():
                # Another task cancelled what the handler awaited.
                self._respond_to_error()
            elif not self._closing:
                raise
        except Exception:
            self._respond_to_error()
        finally:
            self._serving.in_progress -= 1
            self._task = None
            self._held.end()
        self._finish_request()

    def _respond_to_error(self) -> None:
        """End a request whose handler failed; a server may have run it."""
        # An error in one request must not affect others.
        structlog.get_logger().exception("request handler failed")
        if not self.started:
            self.respond(500, (), b"")
        elif not self._response_complete:
            self.abort()

    def _finish_request(self) -> None:
        if self._closing:
            return
        if self._close_after_response:
            self._drop_requests()
            self._close_after_linger()
            return
        if self._unsent_bytes():
            self._watch_unread()
        if not self._closing:
            self._go_on()

    def _go_on(self) -> None:
        """Start the next request, or wait for one."""
        if not self._writable.is_set():
            self.pause_reading()
            return
        self._start_next_request()
        if self._closing:
            return
        if len(self._parser.requests) <= MAX_PIPELINED_REQUESTS:
            self.resume_reading()
        if self._task is None and not self._parser.requests:
            if self._parser.rejection is not None:
                self._reject(self._parser.rejection)
            elif self._parser.has_partial_request:
                self._send_continue()
                self._timer.start(self._limits.header_timeout_s, self._on_request_timeout)
            else:
                self._timer.start_idle(self._close_transport, margin_s=IDLE_TIMEOUT_MARGIN_S)

    def _record_held(self) -> None:
        size = self._parser.held_bytes
        if self._watch is not None:
            size += self._unsent_bytes()
        self._held.record(self, size, owner=self._owner)

    def _watch_unread(self) -> None:
        self._start_watch(on_check=self._record_held, on_stalled=self._on_nothing_read)
        self._record_held()

    def _on_nothing_read(self) -> None:
        self._serving.unread += 1
        details = {"address": self.address, "unread_bytes": self._unsent_bytes()}
        structlog.get_logger().warning("caller reads nothing, connection closed", **details)
        self.abort()

    def _send_continue(self) -> None:
        """Ask for the body of a partial request, once all requests before it are answered."""
        if self._task is None and self._parser.expects_continue and not self._continue_sent:
            self._continue_sent = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _drop_requests(self) -> None:
        """Drop what was read behind a response that announced the close."""
        if not self._parser.has_input:
            return
        dropped = len(self._parser.requests)
        self._parser.requests.clear()
        self._serving.dropped += dropped
        structlog.get_logger().warning(
            "requests behind an announced close were dropped",
            requests=dropped,
            partial=self._parser.has_partial_request,
            close_announced_by="caller" if self._caller_closes else "router",
        )

    def _reject(self, rejection: RejectionStatus) -> None:
        self._close_after_response = True
        self.respond(rejection, (), b"")
        self._close_after_linger()

    def _on_request_timeout(self) -> None:
        if self._task is None:
            self._reject(RejectionStatus.REQUEST_TIMEOUT)

    def _close_transport(self) -> None:
        self._closing = True
        if self._transport is not None:
            self._transport.close()
            if self._transport.get_write_buffer_size():
                self._watch_unread()

    def _close_after_linger(self) -> None:
        """Half-close the connection, and close it after `LINGER_TIMEOUT_S`.

        Closing at once while received bytes are unread would reset the connection, and the caller
        could lose the response.
        """
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer.start(LINGER_TIMEOUT_S, self._close_transport)
