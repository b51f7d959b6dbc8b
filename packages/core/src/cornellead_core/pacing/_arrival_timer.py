"""Timers that act only after what has arrived was read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

READING_TURNS = 6
"""Turns of the event loop from an arrival to the task that awaits it. Opening a connection takes
most: the socket is writable, the task wakes, the transport is made, and its set-up and the waiter
take a turn each. A connection that waits in `ReadPacer` may take longer."""


class ArrivalTimer:
    """Calls a function after a delay, behind what has arrived until then.

    A timer that is late, since the loop was busy or the process suspended, would cancel a task
    before it can use what was read in the same turn.

    :param delay_s: Seconds.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, delay_s: float, action: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._action = action
        self._turns = READING_TURNS
        self._handle: asyncio.Handle = loop.call_later(delay_s, self._wait_turn)

    def cancel(self) -> None:
        """Do not call the function any more."""
        self._handle.cancel()

    def _wait_turn(self) -> None:
        if not self._turns:
            self._action()
            return
        self._turns -= 1
        self._handle = self._loop.call_soon(self._wait_turn)


class ArrivalTimeout:
    """Works as `asyncio.timeout`, but ends the block only behind what has arrived in time.

    :param delay_s: Seconds.
    """

    def __init__(self, *, delay_s: float) -> None:
        self._delay_s = delay_s
        self._timeout = asyncio.timeout(None)
        self._timer: ArrivalTimer | None = None

    def expired(self) -> bool:
        """Return whether the block was ended."""
        return self._timeout.expired()

    def reschedule(self, delay_s: float) -> None:
        """Start anew with another delay, in seconds from now."""
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = ArrivalTimer(loop=loop, delay_s=delay_s, action=self.expire)

    def expire(self) -> None:
        """End the block now, unless it has ended."""
        if not self.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def __aenter__(self) -> ArrivalTimeout:
        """Start the timer."""
        await self._timeout.__aenter__()
        self.reschedule(self._delay_s)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        """Stop the timer.

        :raises TimeoutError: The block was ended.
        """
        self._stop_timer()
        await self._timeout.__aexit__(kind, exc, tb)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
