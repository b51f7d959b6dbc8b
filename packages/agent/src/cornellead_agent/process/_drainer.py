"""Graceful stop of the agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_agent.facts import MOVING
from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from cornellead_agent.admission import Gate
    from cornellead_agent.relay import ActiveConnections
    from cornellead_agent.services import ServiceHandler
    from cornellead_core.blackboard import Blackboard

POLL_S = 0.05
MOVE_TIMEOUT_S = 5.0
"""Time for streams in progress to end with a `moved` comment after the drain limit."""
LINGER_S = 0.5
"""Time in which routers still get refusals after the last request finished."""


class Drainer:
    """Waits for requests in progress, then moves what is left.

    :param timeout_s: Longest wait before streams are moved, in seconds.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        gate: Gate,
        services: ServiceHandler | None,
        active: ActiveConnections,
        timeout_s: float,
    ) -> None:
        self._board = board
        self._gate = gate
        self._services = services
        self._active = active
        self._timeout_s = timeout_s
        self._log = structlog.get_logger()

    async def drain(self) -> None:
        """Refuse new work and return once no request is in progress or the limits passed."""
        self._board.write(DRAINING, True)
        self._log.info("draining", in_flight=self._gate.in_flight)
        if not await self._wait_idle(self._timeout_s):
            self._log.warning("drain_limit_passed", in_flight=self._gate.in_flight)
            self._board.write(MOVING, True)
            self._active.abort_all()
            if not await self._wait_idle(MOVE_TIMEOUT_S):
                self._log.error("requests_cut", in_flight=self._gate.in_flight)
        await asyncio.sleep(LINGER_S)

    def _results_recorded(self) -> bool:
        return self._services is None or self._services.idle

    async def _wait_idle(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                while self._gate.in_flight or not self._results_recorded():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True
