"""One attempt of a request at one server."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.view import SILENCE_TIMEOUT_S

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cornellead.gateway.view import ServerState
    from cornellead.upstream import Exchange
    from cornellead_core.close_delimited import ResponseEnd

STREAM_STALL_TIMEOUT_S = 1.5
"""Time without data after which a stream is resumed at another server: model servers emit events
every few tens of milliseconds, and callers disconnect after four seconds."""
PROGRESS_TIMEOUT_S = 2.0
"""Time without progress after which the same happens to a server that sends a few bytes or comments
now and then: half of the time after which callers disconnect."""
MIN_PROGRESS_BYTES = 1024
"""Growth of an incomplete event or body that counts as progress."""

ANSWER_PROOF_S = 0.5
"""Time from the first event to another one after which the answer counts as begun: a server that
crashes on a request may have sent a first event, and the head long before."""

_attempt_ids = count(1)


class Stall(NamedTuple):
    """What an attempt waited for when the router gave it up."""

    awaited: str
    """``first_byte``, ``byte`` or ``progress``."""
    seconds: float
    """Time since the attempt was sent, or since its last byte or progress."""


class Attempt:
    """A request in flight at one server, with the timeouts that detect a stalled server.

    :param first_byte_timeout_s: Maximum time to the first byte; ``None`` to wait as long as the
        server counts as responsive, for example because it sends data on other requests.
    :param can_fail_over: Whether the request may be sent to another server if this one stalls.
    :param urgency: 0 is the most urgent.
    :param last_event_id: Id of the last event that the caller had when the attempt was sent.
    """

    def __init__(
        self,
        *,
        state: ServerState,
        exchange: Exchange,
        now: float,
        first_byte_timeout_s: float | None,
        can_fail_over: bool,
        urgency: int = 0,
        last_event_id: str = "",
    ) -> None:
        self.state = state
        self.exchange = exchange
        self.sent_at = now
        self.last_event_id = last_event_id
        self.first_byte_s: float | None = None
        """Time to the first byte of the response; ``None`` before it."""
        self.stall: Stall | None = None
        """Why the router gave the attempt up; ``None`` if it did not."""
        self.successor: Attempt | None = None
        """Attempt at another server that was sent while this one was stalled, and that replaces it
        if this one is given up or fails."""
        self.blocked_on_caller = False
        """Whether the relay waits for a slow caller and therefore reads nothing from the server."""
        self.answered = False
        """Whether the server began to answer the request and survived that."""
        self.ended_early = False
        """Whether the response is incomplete although its connection ended regularly."""
        self.on_answered: Callable[[], None] = lambda: None
        """Called once when `answered` becomes true."""
        self.on_head: Callable[[], None] = lambda: None
        """Called once when `has_head` becomes true."""
        self.on_stalled: Callable[[], None] = lambda: None
        """Called at each check while the server is stalled and the request may be repeated."""
        self.on_first_event: Callable[[], None] = lambda: None
        """Called once when the first event arrives."""
        self.end_check: asyncio.Task[ResponseEnd] | None = None
        """Check whether a response that ended with its connection is whole."""
        self.search: asyncio.Task[None] | None = None
        """Search for a server that takes the request if this one has stalled."""
        self.has_head = False
        """Whether the head of a successful response arrived."""
        self._first_event_at: float | None = None
        self.attempt_id = next(_attempt_ids)
        self._first_byte_timeout_s = first_byte_timeout_s
        self._can_fail_over = can_fail_over
        self._last_byte_at: float | None = None
        self._last_progress_at = now
        self._buffered_bytes = 0
        self._watched_since = float("-inf")
        state.health.start_request(self.attempt_id, now=now, urgency=urgency)

    def record_data(self, *, now: float) -> None:
        """Restart the timeout for silence, and record the latency if this is the first data."""
        if self._last_byte_at is None:
            self.first_byte_s = now - self.sent_at
            self.state.health.record_latency(self.first_byte_s)
            self._last_progress_at = now
        self._last_byte_at = now
        self.state.health.record_data_received(now=now)

    def record_progress(self, *, buffered_bytes: int, now: float) -> None:
        """Restart the timeout for progress: the caller can be sent more of the response.

        :param buffered_bytes: Size of the incomplete event or body that is left.
        """
        self._last_progress_at = now
        self._buffered_bytes = buffered_bytes

    def record_end(self, *, now: float) -> None:
        """Restart both timeouts, since the response has ended and its end is being checked."""
        self._last_byte_at = self._last_progress_at = now

    def record_buffered(self, size: int, *, now: float) -> None:
        """Record the size of the incomplete event or body that was received so far."""
        if size - self._buffered_bytes >= MIN_PROGRESS_BYTES:
            self.record_progress(buffered_bytes=size, now=now)

    def record_event(self, *, now: float) -> None:
        """Record an event of the response, which counts as answered once it has lasted."""
        if self._first_event_at is None:
            self._first_event_at = now
            self.on_first_event()
        elif now - self._first_event_at >= ANSWER_PROOF_S:
            self.record_answered()

    def record_head(self) -> None:
        """Record that the head of a successful response arrived."""
        self.has_head = True
        self.on_head()

    def record_answered(self) -> None:
        """Record that the server began to answer the request and survived that."""
        if not self.answered:
            self.answered = True
            self.on_answered()

    @property
    def broken_by_server(self) -> bool:
        """Whether the server broke off the connection before it had begun to answer."""
        return self.cut_by_server and not self.answered

    @property
    def cut_by_server(self) -> bool:
        """Whether the server broke off the connection, or ended it before the whole response."""
        broken = (self.exchange.broken and not self.exchange.dropped) or self.ended_early
        return broken and self.stall is None

    def close(self) -> None:
        """Remove the request from the server's in-flight requests, and close the connection if the
        response is incomplete."""
        for task in (self.search, self.end_check):
            if task is not None:
                task.cancel()
        self.exchange.abort()
        self.state.health.finish_request(self.attempt_id)
        self.state.prompts.finish(self.attempt_id)

    def restart_timeouts(self, *, now: float) -> None:
        """Ignore the silence so far, for example that of a pause of this process."""
        self._watched_since = now

    def check_stall(self, *, now: float) -> None:
        """Call `on_stalled` if the server has stalled and the request may be repeated."""
        if self.blocked_on_caller:
            self.record_data(now=now)
            self.record_progress(buffered_bytes=self._buffered_bytes, now=now)
        elif self._can_fail_over and self.find_stall(now=now) is not None:
            self.on_stalled()

    def waits_in_vain(self, *, now: float) -> bool:
        """Return whether the server has stalled, and nothing that it sent is left to be read."""
        exchange = self.exchange
        if exchange.complete or exchange.broken:
            return False
        if exchange.has_unread_head or exchange.pending_bytes:
            return False
        return self.find_stall(now=now) is not None

    def give_up(self, *, now: float) -> bool:
        """Abort the attempt in favour of another server, unless it has gone on or ended meanwhile.

        :returns: Whether the attempt was aborted.
        """
        if not self.waits_in_vain(now=now):
            return False
        self.stall = self.find_stall(now=now)
        self.exchange.abort()
        return True

    def find_stall(self, *, now: float) -> Stall | None:
        """Return what the server has kept the attempt waiting for too long, if anything."""
        if self._last_byte_at is not None:
            silent_s = now - max(self._last_byte_at, self._watched_since)
            stuck_s = now - max(self._last_progress_at, self._watched_since)
            if silent_s > STREAM_STALL_TIMEOUT_S:
                return Stall("byte", silent_s)
            return Stall("progress", stuck_s) if stuck_s > PROGRESS_TIMEOUT_S else None
        silent_s = now - max(self.sent_at, self._watched_since)
        if self._first_byte_timeout_s is not None:
            stalled = silent_s > self._first_byte_timeout_s
        else:
            watched = now - self._watched_since >= SILENCE_TIMEOUT_S
            stalled = watched and not self.state.health.responsive(now=now)
        return Stall("first_byte", silent_s) if stalled else None
