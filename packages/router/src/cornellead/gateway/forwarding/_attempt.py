"""One attempt of a request at one server."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead.gateway.beliefs import ServerState
    from cornellead.upstream import Exchange

STREAM_STALL_S = 1.5
"""Pause in a stream after which it continues elsewhere: model servers emit events every few tens of
milliseconds, and callers leave after four seconds."""

_numbers = count(1)


class Attempt:
    """Tracks a request at a server until it ends.

    :param first_byte_patience_s: Longest wait for the first byte, or ``None`` to wait as long as
        the server answers others.
    :param may_move: Whether the request may run at another server instead.
    :param urgency: 0 is the most urgent.
    """

    def __init__(
        self,
        *,
        state: ServerState,
        exchange: Exchange,
        now: float,
        first_byte_patience_s: float | None,
        may_move: bool,
        urgency: int = 0,
    ) -> None:
        self.state = state
        self.exchange = exchange
        self.sent_at = now
        self.gave_up = False
        """Whether the router ended the attempt because the server was silent."""
        self.waits_for_caller = False
        """Whether the router does not read because the caller reads slowly."""
        self._number = next(_numbers)
        self._patience_s = first_byte_patience_s
        self._may_move = may_move
        self._last_byte_at: float | None = None
        state.health.open(self._number, now=now, urgency=urgency)

    def count_byte(self, *, now: float) -> None:
        """Count bytes from the server."""
        if self._last_byte_at is None:
            self.state.health.count_latency(now - self.sent_at)
        self._last_byte_at = now
        self.state.health.count_byte(now=now)

    def end(self) -> None:
        """Stop tracking; close the connection if the response is incomplete."""
        self.exchange.abort()
        self.state.health.close(self._number)

    def check(self, *, now: float) -> None:
        """Give up if the server is silent and the request may run elsewhere."""
        if self.waits_for_caller:
            self.count_byte(now=now)
            return
        if self._may_move and self._silent(now):
            self.gave_up = True
            self.exchange.abort()

    def _silent(self, now: float) -> bool:
        if self._last_byte_at is not None:
            return now - self._last_byte_at > STREAM_STALL_S
        if self._patience_s is not None:
            return now - self.sent_at > self._patience_s
        return not self.state.health.responsive(now=now)
