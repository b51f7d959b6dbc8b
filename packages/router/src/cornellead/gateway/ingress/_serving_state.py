"""Shutdown phase, load and time limits of a process."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from cornellead.gateway.ingress._serving_phase import ServingPhase
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class ServingState:
    """Phase and number of requests in progress, shared by listener, admission and shutdown."""

    def __init__(self) -> None:
        self.phase = ServingPhase.RUNNING
        self.in_progress = 0
        """Requests without a complete response, including those that are being refused."""

        self.refused = 0
        """Requests that were refused because the process is stopping."""

        self.dropped = 0
        """Whole requests that were read and not run: behind an announced close, or for lack of
        room."""

        self.unread = 0
        """Connections that were closed since their callers read nothing."""

        self.answer_by = math.inf
        """Time of the event loop by which every request has its final answer; set by a stop."""
        self.expired = False
        """Whether the requests that were in progress at `answer_by` were ended."""
        self._limits: set[ArrivalTimeout] = set()

    @property
    def admitted(self) -> int:
        """Number of admitted requests without a final answer."""
        return len(self._limits)

    def time_left_s(self) -> float:
        """Return the seconds until `answer_by`; infinite unless a stop was requested."""
        return self.answer_by - asyncio.get_running_loop().time()

    @asynccontextmanager
    async def limit(self, timeout_s: float) -> AsyncIterator[None]:
        """Limit the time of a request, which `expire` may end earlier.

        An answer that arrived in time is delivered, also if the process read it later.

        :raises TimeoutError: The time is over.
        """
        async with ArrivalTimeout(delay_s=timeout_s) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    def expire(self) -> None:
        """End the requests in progress, so that each writes its final answer now."""
        self.expired = True
        for limit in self._limits:
            limit.expire()

    def advance(self, phase: ServingPhase) -> None:
        """Enter a phase; ignored if a later one was entered before."""
        self.phase = max(self.phase, phase)
