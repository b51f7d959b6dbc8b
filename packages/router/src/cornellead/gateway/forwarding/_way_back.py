"""Way back of a begun stream to the silent server that it left."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._failover import LONG_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Stall
    from cornellead.gateway.forwarding._request_trace import RequestTrace
    from cornellead.gateway.forwarding._retry_gate import RetryGate
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.view import ServerState


class WayBack:
    """Holds a retry for a begun stream until the server that it moved to has begun to answer.

    That server may refuse the stream when the silent one, which may be sound, has been left. The
    stream cannot be refused any more, only cut, so the retry that takes it back is put aside before
    it leaves.
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
        self._home: ServerState | None = None
        self._left_at = 0.0
        self._silent_since = 0.0
        self._reserved = False
        self._returning = False

    def needed(self, stall: Stall | None) -> bool:
        """Return whether a move needs a further retry for the way back.

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
        self._reserved, self._home = True, None
        return True

    def record_leave(self, home: ServerState, stall: Stall) -> None:
        """Record the server that was given up while it was silent; one that broke off is none."""
        if self._reserved and self._home is None:
            self._home, self._left_at = home, self._clock()
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
        self._trace.add_note("way_back")
        return True

    def forget_home(self, server: str) -> None:
        """Record that a server accepts no connection, so that no return leads there."""
        if self._home is not None and self._home.entry.server == server:
            self._home = None

    def record_send(self) -> None:
        """Record that the send happened for which the retry was spent."""
        self._returning = False

    @property
    def home_recovered(self) -> bool:
        """Whether the server that was left has sent data on other requests since then."""
        return self._home is not None and self._home.health.received_data_since(self._left_at)

    @property
    def home(self) -> str | None:
        """Server to which the stream returns, if that is what the next send is for."""
        if self._home is None or not self._returning:
            return None
        now = self._clock()
        if now - self._silent_since >= LONG_SILENCE_S and not self._home.health.responsive(now=now):
            return None
        return self._home.entry.server
