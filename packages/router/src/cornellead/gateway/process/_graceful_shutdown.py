"""Graceful shutdown of a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from cornellead.gateway.ingress import ServingPhase

if TYPE_CHECKING:
    from cornellead.gateway.ingress import ServingState

BALANCER_REMOVAL_S = 2.5
"""Time until the load balancer has removed the host: it checks readiness once a second, and removes
a host after two failures."""
SIGKILL_MARGIN_S = 0.4
"""Time before SIGKILL by which the process has exited by itself."""
FINAL_ANSWER_MARGIN_S = 0.3
"""Time before the exit at which requests in progress get their final answer, so that it reaches
their callers."""
MAX_FINAL_ANSWER_SHARE = 0.1
"""Maximum share of the grace period that is kept for that."""
POLL_INTERVAL_S = 0.05


class CallerSide(Protocol):
    """Connections of callers that have to end before the process exits."""

    @property
    def unsettled(self) -> int:
        """Number of connections with a request or a response that is not complete."""
        ...

    def finish(self) -> int:
        """Stop accepting, close connections without work, and return how many are open."""
        ...


class GracefulShutdown:
    """Leaves the load balancer's rotation, waits for requests in progress, then closes connections.

    :param grace_period_s: Time from SIGTERM to SIGKILL.
    :param callers: Listener of callers.
    """

    def __init__(
        self, *, serving: ServingState, grace_period_s: float, callers: CallerSide
    ) -> None:
        self._serving = serving
        self._grace_period_s = grace_period_s
        self._callers = callers
        self._exit_at = 0.0

    @property
    def time_left_s(self) -> float:
        """Seconds until the process has to exit; for use after `run`."""
        return self._exit_at - asyncio.get_running_loop().time()

    async def run(self) -> int:
        """Run all phases, within the grace period.

        :returns: Number of connections whose request or response is not complete, and which the
            exit cuts off.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        exit_at = self._exit_at = started_at + self._grace_period_s - SIGKILL_MARGIN_S
        self._serving.answer_by = exit_at - min(
            FINAL_ANSWER_MARGIN_S, MAX_FINAL_ANSWER_SHARE * self._grace_period_s
        )
        self._advance(ServingPhase.LEAVING)
        await asyncio.sleep(min(BALANCER_REMOVAL_S, self._grace_period_s / 2))
        self._advance(ServingPhase.REFUSING)
        # Callers that come back after each refusal must not use up the grace period.
        while self._serving.admitted and self._serving.time_left_s() > 0:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._serving.admitted:
            self._serving.expire()
            # The final answers are written even if the host was suspended past the exit time.
            await asyncio.sleep(POLL_INTERVAL_S)
        self._advance(ServingPhase.CLOSING)
        # Requests that are being received get an answer, and responses reach slow callers.
        while self._callers.finish() and loop.time() < exit_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._callers.unsettled:
            # Time limits that passed while the host was suspended are answered first.
            await asyncio.sleep(POLL_INTERVAL_S)
        return self._callers.unsettled

    def _advance(self, phase: ServingPhase) -> None:
        self._serving.advance(phase)
        structlog.get_logger().info(
            "planned stop",
            phase=phase.name.lower(),
            in_progress=self._serving.in_progress,
            admitted=self._serving.admitted,
        )
