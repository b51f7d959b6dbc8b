"""Planned stop of a router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from cornellead.api import InProgress
    from cornellead_core.blackboard import Blackboard

POLL_INTERVAL_S = 0.05
NOTICE_S = 1.0
"""Time between "not ready" and the end of the listener, for balancers that poll readiness."""
REPORT_TIMEOUT_S = 2.0
"""Time for requests beyond the drain time to send their error."""


class Drain:
    """Waits for requests in progress and reports those that exceed the drain time."""

    def __init__(
        self,
        *,
        board: Blackboard,
        in_progress: InProgress,
        timeout_s: float,
        notice_s: float = NOTICE_S,
    ) -> None:
        self._board = board
        self._in_progress = in_progress
        self._timeout_s = timeout_s
        self._notice_s = notice_s

    async def run(self) -> int:
        """Refuse new requests and finish the others.

        :returns: Number of requests that exceeded the drain time.
        """
        log = structlog.get_logger()
        self._board.write(DRAINING, True)
        log.info("drain started", in_progress=len(self._in_progress))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._wait(started_at + self._timeout_s, not_before=started_at + self._notice_s)
        exceeded = self._in_progress.expire() if len(self._in_progress) else 0
        await self._wait(loop.time() + REPORT_TIMEOUT_S, not_before=0.0)
        log.info("drain finished", exceeded=exceeded)
        return exceeded

    async def _wait(self, deadline: float, *, not_before: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and (len(self._in_progress) or loop.time() < not_before):
            await asyncio.sleep(POLL_INTERVAL_S)
