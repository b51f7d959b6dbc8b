"""Planned stop of a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.ingress import ServingPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import Serving

LEAVING_S = 2.5
"""Time for the balancer to notice: it asks once a second and takes a host out after two misses."""
EXIT_MARGIN_S = 0.4
"""Time before SIGKILL at which the process ends by itself."""
POLL_INTERVAL_S = 0.05


class PlannedStop:
    """Leaves the balancer's rotation, finishes requests in progress, then closes.

    :param grace_s: Time from SIGTERM to SIGKILL.
    :param close_idle: Closes connections without a request in progress.
    """

    def __init__(self, *, serving: Serving, grace_s: float, close_idle: Callable[[], None]) -> None:
        self._serving = serving
        self._grace_s = grace_s
        self._close_idle = close_idle

    async def run(self) -> int:
        """Run the phases of the stop.

        :returns: Requests that were still in progress at the end.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ends_at = started_at + self._grace_s - EXIT_MARGIN_S
        self._advance(ServingPhase.LEAVING)
        await asyncio.sleep(min(LEAVING_S, self._grace_s / 2))
        self._advance(ServingPhase.REFUSING)
        while self._serving.in_progress and loop.time() < ends_at:
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
