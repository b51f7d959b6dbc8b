"""Retry with which a begun stream returns to the silent server that it left."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._search_timing import LONG_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Stall
    from cornellead.gateway.forwarding._request_trace import RequestTrace
    from cornellead.gateway.forwarding._retry_gate import RetryGate
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.view import ServerState


class ReturnRetry:
    """Holds a retry for a begun stream until the server that it moved to has begun to answer.

    That server may refuse the stream when the silent one, which may be sound, has been left. The
    stream cannot be refused any more, only cut, so the retry that takes it back is put aside before
    it leaves.

    In order: `reserve` before the move, `record_leave` when the silent server is given up, then
    either `release` once the other one answers, or `try_return` and `record_send`.
    """

    def __init__(
        self,
        *,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        out: ResponseWriter,
        gate: RetryGate,
        clock: Callable[[], float],
    ) -> None:
        self._admitted = admitted
        self._trace = trace
        self._out = out
        self._gate = gate
        self._clock = clock
        self._origin: ServerState | None = None
        self._left_at = 0.0
        self._silent_since = 0.0
        self._reserved = False
        self._returning = False

    def needed(self, stall: Stall | None) -> bool:
        """Return whether a move needs a further retry for the return.

        :param stall: Stall of the server that would be left; after a long one there is nothing to
            return to.
        """
        if self._reserved or not self._out.started:
            return False
        return stall is not None and stall.seconds < LONG_SILENCE_S

    def reserve(self, stall: Stall | None) -> bool:
        """Put a retry aside before a move, if that is needed and one is left."""
        if not self.needed(stall) or not self._gate.try_reserve(self._admitted):
            return False
        self._reserved, self._origin = True, None
        return True

    def record_leave(self, origin: ServerState, stall: Stall) -> None:
        """Record the silent server that was given up; never called for one that broke off."""
        if self._reserved and self._origin is None:
            self._origin, self._left_at = origin, self._clock()
            self._silent_since = self._left_at - stall.seconds

    def release(self) -> None:
        """Give the retry back if it is still held: it is no longer needed."""
        if self._reserved:
            self._reserved = False
            self._gate.release(self._admitted)

    def try_return(self) -> bool:
        """Spend the retry that is held; ``False`` if there is none or the gate is closed."""
        if not self._reserved or not self._gate.try_pass(
            self._admitted, self._trace, reserved=True
        ):
            return False
        self._reserved, self._returning = False, True
        self._trace.add_note("returned")
        return True

    def forget_origin(self, server: str) -> None:
        """Record that a server accepts no connection, so that no return leads there."""
        if self._origin is not None and self._origin.entry.server == server:
            self._origin = None

    def record_send(self) -> None:
        """Record that the send happened for which the retry was spent."""
        self._returning = False

    @property
    def origin_recovered(self) -> bool:
        """Whether the server that was left has sent data on other requests since then."""
        return self._origin is not None and self._origin.health.received_data_since(self._left_at)

    @property
    def origin(self) -> str | None:
        """Server to which the stream returns, if that is what the next send is for."""
        if self._origin is None or not self._returning:
            return None
        now = self._clock()
        if now - self._silent_since >= LONG_SILENCE_S and not self._origin.health.responsive(
            now=now
        ):
            return None
        return self._origin.entry.server
