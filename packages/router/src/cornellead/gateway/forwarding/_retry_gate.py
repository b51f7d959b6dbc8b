"""Conditions under which a request may be sent to a server, or to a further one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.ingress import ServingPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._request_trace import RequestTrace
    from cornellead.gateway.ingress import ServingState
    from cornellead.gateway.policy import RetryBudgets
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView

MAX_UNANSWERED_BREAKS = 2
"""Servers that may break off a request before it is not sent again: it may be what crashes them."""
MAX_CRASHES_BEFORE_RETRY = 1
"""Crashes of a part since its latest answer up to which its requests are sent to a further server
after one broke them off."""
NO_RETRY_BUDGET = "no_retry_budget"
"""Obstacle that passes with time."""
STOPPING = "stopping"
"""Obstacle of a request that another router serves before this one exits."""

_DECISIONS = {
    "may_crash_servers": "no_retry_after_crash",
    NO_RETRY_BUDGET: "retry_budget_empty",
}


class RetryGate:
    """Checks attempts, suspicion of crashing servers, the retry budget of a request, and the time
    that a planned stop leaves."""

    def __init__(
        self,
        *,
        view: FleetView,
        serving: ServingState,
        retries: RetryBudgets,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._serving = serving
        self._retries = retries
        self._stats = stats
        self._clock = clock

    def allows_send(self, admitted: AdmittedRequest) -> bool:
        """Return whether a send now is better for the caller than another router."""
        attempts = admitted.attempts
        if self._serving.phase >= ServingPhase.REFUSING and attempts.not_run:
            return False
        needed_s = min(admitted.route.target_latency_s, attempts.time_left_s(now=self._clock()))
        return self._serving.time_left_s() >= needed_s

    def find_obstacle(
        self, admitted: AdmittedRequest, trace: RequestTrace, *, retries: int = 1
    ) -> str | None:
        """Return why the request may not be sent again; ``None`` if it may be.

        :param retries: Retries that must be left; 0 if the next one was put aside.
        """
        now = self._clock()
        if not self.allows_send(admitted):
            return STOPPING
        if not admitted.attempts.may_send(now=now):
            return "no_attempt_left"
        if trace.unanswered_breaks and not self._may_retry_after_break(admitted, trace):
            return "may_crash_servers"
        service, routers = admitted.service.name, len(self._view.routers(now=now))
        if not self._retries.has_room(service, routers=routers, now=now, retries=retries):
            return NO_RETRY_BUDGET
        return None

    def try_pass(
        self, admitted: AdmittedRequest, trace: RequestTrace, *, reserved: bool = False
    ) -> bool:
        """Spend a retry if nothing prevents it, else note the reason in the trace.

        :param reserved: Whether the retry was put aside by `try_reserve`.
        """
        obstacle = self.find_obstacle(admitted, trace, retries=0 if reserved else 1)
        if obstacle is None:
            self.spend(admitted, reserved=reserved)
            return True
        trace.add_note_once(obstacle)
        if obstacle in _DECISIONS:
            self._stats.count_decision(_DECISIONS[obstacle])
        return False

    def spend(self, admitted: AdmittedRequest, *, reserved: bool = False) -> None:
        """Spend a retry on a send for which `find_obstacle` has just found none.

        :param reserved: Whether the retry was put aside by `try_reserve`.
        """
        service, now = admitted.service.name, self._clock()
        if reserved:
            self._retries.spend_reserved(service)
        else:
            self._retries.try_spend(service, routers=len(self._view.routers(now=now)), now=now)
        self._stats.count_decision("retry")

    def try_reserve(self, admitted: AdmittedRequest) -> bool:
        """Put a retry of the request's service aside; ``False`` if none is left."""
        now = self._clock()
        routers = len(self._view.routers(now=now))
        return self._retries.try_reserve(admitted.service.name, routers=routers, now=now)

    def release(self, admitted: AdmittedRequest) -> None:
        """Give back a retry that was put aside."""
        self._retries.release(admitted.service.name)

    def _may_retry_after_break(self, admitted: AdmittedRequest, trace: RequestTrace) -> bool:
        if trace.unanswered_breaks >= MAX_UNANSWERED_BREAKS:
            return False
        now, guard = self._clock(), self._view.guard
        if guard.count_crashes(admitted.parts) > MAX_CRASHES_BEFORE_RETRY:
            return False
        routers = self._view.routers(now=now)
        return guard.find_refused(admitted.parts, routers=routers, now=now) is None
