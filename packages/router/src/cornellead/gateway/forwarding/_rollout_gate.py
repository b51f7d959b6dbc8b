"""Which version's servers may receive a request, and what their responses tell of the versions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse
from cornellead.gateway.policy import ExposureLimiter
from cornellead.gateway.policy import slow_limit_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._outcome import AttemptOutcome
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import Rollout
    from cornellead.gateway.view import ServerState

ONE_BREAK_S = 1.0
"""Time within which broken connections to one server count as one failure: a server that ends
breaks all of its connections, whatever its version."""
MIN_SLOW_SHARE = 0.5
"""Time to the first byte, as a fraction of the route's target, up to which no response is slow: the
servers of a new version begin with empty prompt caches, so their first responses take longer."""
BUFFERS_FULL = "buffers_full"


class TimedAttempt(Protocol):
    """What is counted of an attempt at a server."""

    @property
    def state(self) -> ServerState:
        """The server."""
        ...

    @property
    def sent_at(self) -> float:
        """Time of the send in seconds."""
        ...

    @property
    def first_byte_s(self) -> float | None:
        """Time to the first byte of the response; ``None`` before it."""
        ...


class RolloutGate:
    """Limits the requests that go to a version which has not proved itself.

    Without an order for the service it changes nothing.
    """

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._limiters: dict[str, tuple[Rollout, ExposureLimiter]] = {}
        self._broke_at: dict[str, float] = {}
        """Time of the last counted broken connection by server."""

    def groups(
        self,
        admitted: AdmittedRequest,
        servers: Sequence[ServerState],
        *,
        with_exposure: bool = True,
    ) -> list[Sequence[ServerState]]:
        """Return the servers that may receive the request, in groups by preference.

        Only the first send of a request may go to a version that has not proved itself, until all
        requests move to it. Servers of versions whose rollout was given up get nothing while others
        can be used.

        :param with_exposure: Whether to include the servers that get a small share only.
        """
        rollout = self._view.rollouts.get(admitted.service.name)
        if rollout is None:
            return [servers]
        to, share = rollout.order.to, rollout.share
        usable = self._view.servers.usable(admitted.service.name)
        given_up = _given_up(rollout, {state.entry.version for state in usable})
        servers = [state for state in servers if state.entry.version not in given_up]
        usable = [state for state in usable if state.entry.version not in given_up]
        new = [state for state in servers if state.entry.version == to]
        old = [state for state in servers if state.entry.version != to]
        if rollout.withdrawn and rollout.settled:
            return [servers]
        if rollout.fault:
            return [old]
        if share >= 1.0:
            return [new, old] if new else [old]
        if with_exposure and share > 0.0 and new and self._may_expose(rollout, admitted):
            return [new, old]
        if old or any(state.entry.version != to for state in usable):
            return [old]
        return [new]

    def may_send(self, admitted: AdmittedRequest, state: ServerState) -> bool:
        """Return whether a server that was found some time ago may still receive the request."""
        return any(state in group for group in self.groups(admitted, [state]))

    def _may_expose(self, rollout: Rollout, admitted: AdmittedRequest) -> bool:
        limiter = self._limiter(rollout)
        if rollout.moving:
            return limiter.allows_total(rollout.share)
        return not admitted.attempts.sends and limiter.allows()

    def count_send(self, admitted: AdmittedRequest, state: ServerState) -> None:
        """Count a request that is about to be sent, if it goes to the new version."""
        rollout = self._view.rollouts.get(admitted.service.name)
        if rollout is not None and state.entry.version == rollout.order.to:
            self._limiter(rollout).count_exposed()

    def record_sent(self, admitted: AdmittedRequest) -> None:
        """Record that a request was sent to a server; only its first send raises the limit."""
        rollout = self._view.rollouts.get(admitted.service.name)
        if rollout is not None and admitted.attempts.sends == 1:
            self._limiter(rollout).count_request(share=min(rollout.share, 1.0))

    def record_outcome(
        self,
        admitted: AdmittedRequest,
        attempt: TimedAttempt,
        outcome: AttemptOutcome | None,
        *,
        now: float,
    ) -> None:
        """Count the response of a server by version and route.

        :param outcome: ``None`` if the attempt was cancelled: the caller left, the deadline passed,
            or another attempt serves the request.
        :param now: Seconds.
        """
        rollout = self._view.rollouts.get(admitted.service.name)
        if rollout is None or not rollout.open or isinstance(outcome, NotRunResponse):
            return
        route, new = admitted.route.name, attempt.state.entry.version == rollout.order.to
        total_s = now - attempt.sent_at
        if isinstance(outcome, BrokenResponse):
            if outcome.cause == BUFFERS_FULL or self._broke_before(attempt, now=now):
                return
            rollout.count(route, new=new, bad=True)
            return
        slow = self._is_slow(rollout, admitted, attempt, total_s)
        if outcome is None:
            if attempt.first_byte_s is None and slow:
                rollout.count(route, new=new, bad=True)
            return
        delivered = isinstance(outcome, DeliveredResponse)
        rollout.count(route, new=new, bad=slow or not delivered)
        if delivered and not new:
            rollout.record_usual(route, first_s=attempt.first_byte_s, total_s=total_s)

    def _is_slow(
        self, rollout: Rollout, admitted: AdmittedRequest, attempt: TimedAttempt, total_s: float
    ) -> bool:
        route = admitted.route.name
        limit_s = slow_limit_s(rollout.usual_total_s(route))
        if limit_s is not None and total_s > limit_s:
            return True
        first_s = total_s if attempt.first_byte_s is None else attempt.first_byte_s
        limit_s = slow_limit_s(rollout.usual_first_s(route))
        tolerated_s = MIN_SLOW_SHARE * admitted.route.target_latency_s
        return limit_s is not None and first_s > max(limit_s, tolerated_s)

    def _broke_before(self, attempt: TimedAttempt, *, now: float) -> bool:
        self._broke_at = {name: at for name, at in self._broke_at.items() if now - at < ONE_BREAK_S}
        return self._broke_at.setdefault(attempt.state.entry.server, now) != now

    def _limiter(self, rollout: Rollout) -> ExposureLimiter:
        known = self._limiters.get(rollout.order.service)
        if known is None or known[0] is not rollout:
            known = self._limiters[rollout.order.service] = (rollout, ExposureLimiter())
        return known[1]


def _given_up(rollout: Rollout, versions: set[str]) -> set[str]:
    """Return the versions of earlier orders that get nothing while others can be used.

    :param versions: Versions of the usable servers.
    """
    given_up = set(rollout.abandoned)
    # The replaced version may have been completed meanwhile, so it serves as the only old one.
    if versions - given_up - {rollout.replaced, rollout.order.to}:
        given_up.add(rollout.replaced)
    # A server that states no version is in force.
    given_up.discard("")
    return given_up if versions - given_up else set()
