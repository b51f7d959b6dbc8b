"""Gives waiting requests their turns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.waiting._wait_queue import WaitQueue

if TYPE_CHECKING:
    from cornellead.waiting._wait_queue import Ticket
    from cornellead_core.config import Priority

RETRY_INTERVAL_S = 0.05
"""Time between placements of the first waiting request while nothing is known to be free."""


class _Turn:
    def __init__(self, ticket: Ticket, fut: asyncio.Future[bool]) -> None:
        self.ticket = ticket
        self.fut = fut
        self.trying = False
        self.passed = False


class WaitingRoom:
    """One queue per model; a controller that wakes the first request of each.

    :param max_waiting: Requests that may wait at the same time, over all models.
    """

    name = "waiting-room"

    def __init__(self, *, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._queues: dict[str, WaitQueue] = {}
        self._turns: dict[str, dict[Ticket, _Turn]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def count(self, priority: Priority) -> int:
        """Number of waiting requests of a class."""
        return sum(queue.count(priority) for queue in self._queues.values())

    def waits_before(self, model: str, priority: Priority) -> bool:
        """Return whether a new request has to queue behind others."""
        queue = self._queues.get(model)
        return queue is not None and queue.waits_before(priority)

    def enter(self, model: str, *, team: str, weight: float, priority: Priority) -> Ticket | None:
        """Join the queue of a model.

        When the room is full, the team with the most waiting requests loses its last one, so a
        surge of one team does not keep the others out.

        :returns: ``None`` if this request itself has no place.
        """
        queue = self._queues.setdefault(model, WaitQueue())
        if len(self) >= self._max_waiting and not self._make_room(team):
            return None
        ticket = queue.push(team=team, weight=weight, priority=priority)
        fut = asyncio.get_running_loop().create_future()
        self._turns.setdefault(model, {})[ticket] = _Turn(ticket, fut)
        return ticket

    async def wait_turn(self, model: str, ticket: Ticket, *, deadline: float) -> bool:
        """Wait until this request is first and a server may have become free.

        :param deadline: Loop time in seconds.
        :returns: ``False`` when the deadline passed or the request lost its place.
        """
        loop = asyncio.get_running_loop()
        turn = self._turns.get(model, {}).get(ticket)
        if turn is None:
            return False
        turn.trying = False
        turn.passed = False
        if turn.fut.done() and not turn.fut.cancelled() and turn.fut.result():
            turn.fut = loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(turn.fut)
        except TimeoutError:
            return False

    def leave(self, model: str, ticket: Ticket, *, served: bool) -> None:
        """Leave the queue; after a success the next request gets its turn at once."""
        queue = self._queues.get(model)
        if queue is None:
            return
        self._turns[model].pop(ticket, None)
        if served:
            queue.serve(ticket)
        else:
            queue.remove(ticket)
        if not len(queue):
            del self._queues[model]
            del self._turns[model]
        elif served:
            self.wake(model)

    def pass_turn(self, model: str, ticket: Ticket) -> None:
        """Let the next request try while the attempt of this one goes on."""
        turn = self._turns.get(model, {}).get(ticket)
        if turn is not None:
            turn.passed = True
            self.wake(model)

    def wake(self, model: str) -> None:
        """Give the first request of a model that did not pass its turn."""
        queue = self._queues.get(model)
        if queue is None:
            return
        head = queue.head(skip=lambda ticket: self._turns[model][ticket].passed)
        if head is None:
            return
        turn = self._turns[model][head]
        if not turn.trying and not turn.fut.done():
            turn.trying = True
            turn.fut.set_result(True)

    async def run(self) -> None:
        """Wake the first requests from time to time."""
        while True:
            await asyncio.sleep(RETRY_INTERVAL_S)
            for model in list(self._queues):
                self.wake(model)

    def _make_room(self, team: str) -> bool:
        model, (largest, number) = max(
            ((model, queue.largest_team()) for model, queue in self._queues.items()),
            key=lambda item: item[1][1],
        )
        if largest == team or number <= 1:
            return False
        victim = self._queues[model].last_of(largest)
        if victim is None:
            return False
        turn = self._turns[model].pop(victim)
        self._queues[model].remove(victim)
        if not turn.fut.done():
            turn.fut.set_result(False)
        return True
