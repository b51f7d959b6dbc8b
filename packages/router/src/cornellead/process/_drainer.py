"""Drain of a router before a planned stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from cornellead.api import RequestTracker
    from cornellead_core.blackboard import Blackboard

POLL_INTERVAL_S = 0.05
MIN_DRAIN_S = 1.0
"""Shortest time between "not ready" and the end of the listener. Load balancers poll readiness and
send new requests until they notice the change."""
ERROR_SEND_TIMEOUT_S = 2.0
"""Time for cancelled requests to send their error after the drain timeout."""


class Drainer:
    """Waits for the requests in progress and cancels those that exceed the drain timeout.

    :param timeout_s: Drain timeout in seconds.
    :param min_drain_s: Shortest drain in seconds, also without requests in progress.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        tracker: RequestTracker,
        timeout_s: float,
        min_drain_s: float = MIN_DRAIN_S,
    ) -> None:
        self._board = board
        self._tracker = tracker
        self._timeout_s = timeout_s
        self._min_drain_s = min_drain_s

    async def run(self) -> int:
        """Reject new requests and wait for those in progress.

        :returns: Number of requests that exceeded the drain timeout and were cancelled.
        """
        log = structlog.get_logger()
        self._board.write(DRAINING, True)
        log.info("drain started", in_progress=len(self._tracker))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._wait(started_at + self._timeout_s, not_before=started_at + self._min_drain_s)
        exceeded = self._tracker.cancel_all() if len(self._tracker) else 0
        await self._wait(loop.time() + ERROR_SEND_TIMEOUT_S, not_before=0.0)
        log.info("drain finished", exceeded=exceeded)
        return exceeded

    async def _wait(self, deadline: float, *, not_before: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and (len(self._tracker) or loop.time() < not_before):
            await asyncio.sleep(POLL_INTERVAL_S)
