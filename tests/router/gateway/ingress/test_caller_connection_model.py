"""State machine: a caller whose requests cross stops, closes, timeouts and errors of handlers."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from structlog.testing import capture_logs
from tests.router.gateway.builders import LIMITS

from cornellead.gateway.ingress import CallerConnection
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.ingress import ServingState
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

ACTIONS = ("respond", "stream", "error", "error_in_stream", "error_after_response")
CLOSE = b"Connection: close"
ANSWERED = re.compile(rb"X-Id: (\d+)")


class TimerLoop(asyncio.SelectorEventLoop):
    """Runs a timer only when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.timers: list[tuple[asyncio.TimerHandle, Callable[..., object]]] = []

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        handle = super().call_later(delay + 3600.0, callback, *args, context=context)
        self.timers = [(timer, action) for timer, action in self.timers if not timer.cancelled()]
        self.timers.append((handle, callback))
        return handle


class FakeTransport(asyncio.Transport):
    """Collects what is written, and tells what was read when a response announced the close."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.reading = True
        self.closed = self.reset = self.ended = False
        self.read_bytes = 0
        self.read_bytes_at_close: int | None = None

    def write(self, data: Any) -> None:
        self.written += bytes(data)
        if CLOSE in data and self.read_bytes_at_close is None:
            self.read_bytes_at_close = self.read_bytes

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed, self.reading = True, False

    def abort(self) -> None:
        self.reset = True
        self.close()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.ended = True

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = not self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class CallerMachine(RuleBasedStateMachine):
    """Each whole request that was read is answered once, unless the caller knows of the close."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = TimerLoop()
        self.serving = ServingState()
        self.unread = b""
        self.sent_bytes = 0
        self.ends: list[int] = []
        """Offset of the end of each request among the bytes sent."""
        self.final_end: int | None = None
        """End of the first request that lets nothing follow it."""
        self.started: list[int] = []
        self.handling: asyncio.Future[str] | None = None
        self.transport = FakeTransport()
        self.lost = False
        self.run(self.connect)

    def run(self, action: Any, *args: Any) -> None:
        async def step() -> None:
            action(*args)
            for _ in range(4):
                await asyncio.sleep(0)
            if self.transport.closed and not self.lost:
                self.lost = True
                self.conn.connection_lost(None)
                await asyncio.sleep(0)

        # Printing the tracebacks of handlers takes most of the time.
        with capture_logs():
            self.loop.run_until_complete(step())

    def connect(self) -> None:
        self.conn = CallerConnection(
            handler=self,
            serving=self.serving,
            limits=lambda: LIMITS,
            clock=lambda: 0.0,
            on_closed=lambda conn: None,
            pacer=ReadPacer(call_soon=self.loop.call_soon),
        )
        self.conn.connection_made(self.transport)

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        number = int(req.path[1:])
        self.started.append(number)
        self.handling = self.loop.create_future()
        try:
            action = await self.handling
        finally:
            self.handling = None
        headers = ((b"X-Id", b"%d" % number),)
        if action == "respond" or action == "error_after_response":
            out.respond(200, headers, b"ok")
        elif action != "error":
            out.begin(200, headers)
            await out.write(b"event")
        if action == "stream":
            out.end()
        if action.startswith("error"):
            raise RuntimeError("handler")

    @rule(closes=st.booleans(), body=st.sampled_from([b"", b"pay" * 5]))
    def send_request(self, closes: bool, body: bytes) -> None:
        head = b"POST /%d HTTP/1.1\r\nContent-Length: %d\r\n" % (len(self.ends), len(body))
        self._send(head + (CLOSE + b"\r\n" if closes else b"") + b"\r\n" + body, final=closes)
        self.ends.append(self.sent_bytes)

    @precondition(lambda self: self.transport.reading)
    @rule(count=st.integers(2, 3))
    def read_pipelined_requests(self, count: int) -> None:
        for _ in range(count):
            self.send_request(False, b"")
        self.deliver(400)

    @rule()
    def send_malformed(self) -> None:
        if self.final_end is None:
            self.final_end = self.sent_bytes
        self._send(b"nonsense\r\n\r\n", final=False)

    @property
    def _timers(self) -> list[tuple[asyncio.TimerHandle, Callable[..., object]]]:
        return [pair for pair in self.loop.timers if not pair[0].cancelled()]

    def _send(self, data: bytes, *, final: bool) -> None:
        self.unread += data
        self.sent_bytes += len(data)
        if final and self.final_end is None:
            self.final_end = self.sent_bytes

    @precondition(lambda self: self.unread and self.transport.reading)
    @rule(size=st.sampled_from([7, 60, 400]))
    def deliver(self, size: int) -> None:
        data, self.unread = self.unread[:size], self.unread[size:]
        self.transport.read_bytes += len(data)
        self.run(self.conn.data_received, data)

    @precondition(lambda self: self.handling is not None)
    @rule(action=st.sampled_from(ACTIONS))
    def complete(self, action: str) -> None:
        assert self.handling is not None
        self.run(self.handling.set_result, action)

    @rule()
    def stop(self) -> None:
        self.serving.advance(ServingPhase.LEAVING)

    @rule()
    def finish(self) -> None:
        self.serving.advance(ServingPhase.CLOSING)
        self.run(self.conn.finish)

    @precondition(lambda self: len(self.started) > 1)
    @rule()
    def evict(self) -> None:
        self.run(self.conn.close_idle)

    @precondition(lambda self: self.started and self._timers)
    @rule()
    def time_out(self) -> None:
        timer, action = self._timers[-1]
        timer.cancel()
        self.run(action)

    @invariant()
    def each_request_starts_once(self) -> None:
        assert self.started == list(range(len(self.started)))

    @invariant()
    def what_was_read_is_answered(self) -> None:
        transport = self.transport
        if transport.reset or not (transport.closed or transport.ended):
            return
        read_bytes = transport.read_bytes
        if transport.read_bytes_at_close is not None:
            read_bytes = transport.read_bytes_at_close
        if self.final_end is not None:
            read_bytes = min(read_bytes, self.final_end)
        owed = sum(1 for end in self.ends if end <= read_bytes)
        answers = len(ANSWERED.findall(transport.written))
        answers += transport.written.count(b"HTTP/1.1 500")
        assert answers >= owed, f"{owed} requests were read, {answers} were answered"

    @invariant()
    def answers_are_in_order(self) -> None:
        numbers = [int(number) for number in ANSWERED.findall(self.transport.written)]
        assert numbers == sorted(set(numbers))

    def teardown(self) -> None:
        if not self.lost:
            self.run(self.transport.close)
        self.loop.close()


TestCallerMachine = CallerMachine.TestCase
TestCallerMachine.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)
