"""Graceful shutdown of the agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_agent.facts import MOVE_STREAMS
from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.relay import ActiveConnections
    from cornellead_agent.services import ServiceHandler
    from cornellead_core.blackboard import Blackboard

POLL_INTERVAL_S = 0.05
MOVE_TIMEOUT_S = 5.0
"""Time for streams in progress to end with a ``moved`` comment after the drain timeout."""
SHUTDOWN_DELAY_S = 0.5
"""Time after the last request during which the agent still answers routers with refusals."""


class Drainer:
    """Waits for requests in progress, then aborts those that exceed the drain timeout.

    Aborted streams end with a ``moved`` comment and are resumed by the router on another server.

    :param service_handler: ``None`` if the server is a model engine.
    :param timeout_s: Drain timeout, in seconds.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        admission: AdmissionController,
        service_handler: ServiceHandler | None,
        active: ActiveConnections,
        timeout_s: float,
    ) -> None:
        self._board = board
        self._admission = admission
        self._service_handler = service_handler
        self._active = active
        self._timeout_s = timeout_s
        self._log = structlog.get_logger()

    async def drain(self) -> None:
        """Refuse new requests and return when none is in progress or both timeouts have passed."""
        self._board.write(DRAINING, True)
        self._log.info("draining", in_flight=self._admission.in_flight)
        if not await self._wait_until_idle(self._timeout_s):
            self._log.warning("drain_limit_passed", in_flight=self._admission.in_flight)
            self._board.write(MOVE_STREAMS, True)
            self._active.abort_all()
            if not await self._wait_until_idle(MOVE_TIMEOUT_S):
                self._log.error("requests_cut", in_flight=self._admission.in_flight)
        await asyncio.sleep(SHUTDOWN_DELAY_S)

    def _results_recorded(self) -> bool:
        return self._service_handler is None or self._service_handler.idle

    async def _wait_until_idle(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                while self._admission.in_flight or not self._results_recorded():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True
