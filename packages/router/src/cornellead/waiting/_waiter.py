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
    from cornellead.waiting._waiting_room import WaitingRoom
    from cornellead_core.config import Priority
    from cornellead_core.config import TeamPolicy
    from cornellead_core.metrics import Latency

T = TypeVar("T")


class Waiter:
    """Tries a request at once unless others wait, and then each time it is first in the queue."""

    def __init__(self, *, room: WaitingRoom, waits: Latency) -> None:
        self._room = room
        self._waits = waits

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
                found = await attempt()
        finally:
            self._room.leave(queue, ticket, served=found is not None)
            waited_s = loop.time() - entered_at
            self._waits.record(waited_s)
            progress.waited_s += waited_s
        return found


def _overloaded(progress: Progress) -> ApiError:
    message = "all servers are at their limits; retry later"
    if progress.may_have_run:
        return lost(message, may_have_run=True)
    return busy("overloaded", message)
