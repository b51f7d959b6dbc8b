"""The one timer of a caller's connection: for a partial request, for the next one, or the close."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_core.pacing import ArrivalTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.routing import CallerLimits


class RequestTimer:
    """Runs one action after a delay; a new start replaces the one before.

    :param limits: Returns the limits in force.
    """

    def __init__(self, *, limits: Callable[[], CallerLimits]) -> None:
        self._limits = limits
        self._timer: ArrivalTimer | None = None
        self._idle_since = 0.0

    def start(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run the action after a delay in seconds."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._timer = ArrivalTimer(loop=loop, delay_s=delay_s, action=action)

    def start_idle(self, action: Callable[[], None], *, margin_s: float) -> None:
        """Run the action after the idle timeout and a margin in seconds, counted from now."""
        self._idle_since = asyncio.get_running_loop().time() + margin_s
        self._wait_idle(action)

    def cancel(self) -> None:
        """Run the action no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_idle(self, action: Callable[[], None]) -> None:
        # Callers follow the limits in force, which may have changed since the timer was started.
        left_s = (
            self._idle_since + self._limits().idle_timeout_s - asyncio.get_running_loop().time()
        )
        if left_s > 0:
            self.start(left_s, lambda: self._wait_idle(action))
        else:
            action()
