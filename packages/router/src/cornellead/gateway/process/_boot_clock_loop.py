"""Event loop whose clock includes the time for which the host was suspended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.gateway.process._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable


class BootClockLoop(asyncio.SelectorEventLoop):
    """Runs timeouts and idle times by the clock that also dates requests and the fleet view.

    By the usual clock of an event loop, a suspended host resumes with deadlines that have passed
    and with pooled connections that their servers have closed meanwhile.

    :param clock: Returns seconds; never goes back.
    """

    def __init__(self, *, clock: Callable[[], float] = read_clock) -> None:
        super().__init__()
        self._clock = clock

    def time(self) -> float:
        """Return the seconds by which timers are scheduled."""
        return self._clock()
