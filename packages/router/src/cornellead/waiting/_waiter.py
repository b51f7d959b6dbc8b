"""Repeats attempts of a request in its turn until the deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from cornellead.errors import ApiError
from cornellead.errors import busy
from cornellead.errors import lost
from cornellead.errors import too_late

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead.dispatch._progress import Progress
    from cornellead.waiting._wait_queue import Ticket
    from cornellead.waiting._waiting_room import WaitingRoom
    from cornellead_core.config import Priority
    from cornellead_core.config import TeamPolicy
    from cornellead_core.metrics import Latency

T = TypeVar("T")

REFUSAL_WAIT_S = 0.02
"""Time in which an agent refuses. An attempt without a response by then was most likely admitted
and waits for the server, so the next request gets its turn: otherwise a router places one request
per time to first token."""


class Waiter:
    """Tries a request at once unless others wait, and then each time it is first in the queue."""

    def __init__(self, *, room: WaitingRoom, waits: Latency) -> None:
        self._room = room
        self._waits = waits

    def wake(self, queue: str) -> None:
        """Give the first request of a queue its turn, because a server may have become free."""
        self._room.wake(queue)

    async def try_until(
        self,
        attempt: Callable[[], Awaitable[T | None]],
        *,
        queue: str,
        team: TeamPolicy,
        priority: Priority,
        deadline: float,
        progress: Progress,
        overtakes: bool = False,
    ) -> T | ApiError:
        """Repeat attempts until one returns something else than ``None``.

        :param queue: Requests of one queue compete for the same servers.
        :param deadline: Loop time in seconds.
        :param overtakes: Whether the first attempt need not wait for the queue.
        """
        if overtakes or not self._room.waits_before(queue, priority):
            found = await attempt()
            if found is not None:
                return found
        weight = max(1, team.concurrent_requests)
        ticket = self._room.enter(queue, team=team.name, weight=weight, priority=priority)
        if ticket is None:
            return _overloaded(progress)
        loop = asyncio.get_running_loop()
        entered_at = loop.time()
        found = None
        try:
            while found is None:
                if not await self._room.wait_turn(queue, ticket, deadline=deadline):
                    if loop.time() >= deadline:
                        return too_late(may_have_run=progress.may_have_run)
                    return _overloaded(progress)
                found = await self._attempt_in_turn(attempt, queue, ticket)
        finally:
            self._room.leave(queue, ticket, served=found is not None)
            waited_s = loop.time() - entered_at
            self._waits.record(waited_s)
            progress.waited_s += waited_s
        return found

    async def _attempt_in_turn(
        self, attempt: Callable[[], Awaitable[T | None]], queue: str, ticket: Ticket
    ) -> T | None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(REFUSAL_WAIT_S, self._room.pass_turn, queue, ticket)
        try:
            return await attempt()
        finally:
            timer.cancel()


def _overloaded(progress: Progress) -> ApiError:
    message = "all servers are at their limits; retry later"
    if progress.may_have_run:
        return lost(message, may_have_run=True)
    return busy("overloaded", message)
