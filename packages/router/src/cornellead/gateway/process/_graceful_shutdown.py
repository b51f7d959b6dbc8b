"""Graceful shutdown of a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.ingress import ServingPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import ServingState

BALANCER_REMOVAL_S = 2.5
"""Time until the load balancer has removed the host: it checks readiness once a second, and removes
a host after two failures."""
SIGKILL_MARGIN_S = 0.4
"""Time before SIGKILL by which the process has exited by itself."""
POLL_INTERVAL_S = 0.05


class GracefulShutdown:
    """Leaves the load balancer's rotation, waits for requests in progress, then closes connections.

    :param grace_period_s: Time from SIGTERM to SIGKILL.
    :param close_idle: Closes the connections without a request in progress.
    """

    def __init__(
        self, *, serving: ServingState, grace_period_s: float, close_idle: Callable[[], None]
    ) -> None:
        self._serving = serving
        self._grace_period_s = grace_period_s
        self._close_idle = close_idle

    async def run(self) -> int:
        """Run all phases, within the grace period.

        :returns: Number of requests that are still in progress, and are cut off by the exit.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        exit_at = started_at + self._grace_period_s - SIGKILL_MARGIN_S
        self._advance(ServingPhase.LEAVING)
        await asyncio.sleep(min(BALANCER_REMOVAL_S, self._grace_period_s / 2))
        self._advance(ServingPhase.REFUSING)
        while self._serving.in_progress and loop.time() < exit_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._advance(ServingPhase.CLOSING)
        self._close_idle()
        await asyncio.sleep(POLL_INTERVAL_S)
        return self._serving.in_progress

    def _advance(self, phase: ServingPhase) -> None:
        self._serving.advance(phase)
        structlog.get_logger().info(
            "planned stop", phase=phase.name.lower(), in_progress=self._serving.in_progress
        )
