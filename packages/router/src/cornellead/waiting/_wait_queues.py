"""Queues of requests that wait until a server has capacity."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.waiting._wait_queue import WaitQueue

if TYPE_CHECKING:
    from cornellead.waiting._wait_queue import Ticket
    from cornellead_core.config import Priority

WAKE_INTERVAL_S = 0.05
"""Interval at which the first request of each queue is retried without a sign of free capacity. The
router is not notified when requests of other routers end."""


class _Entry:
    """Queued request; its future is done when the request may try again or was evicted."""

    def __init__(self, ticket: Ticket, fut: asyncio.Future[bool]) -> None:
        self.ticket = ticket
        self.fut = fut
        self.attempting = False
        """Whether an attempt was started and has not ended."""
        self.yielded = False
        """Whether the request lets others try while its attempt continues."""


class WaitQueues:
    """Wait queues by model or service, and the controller that wakes their first requests.

    :param max_waiting: Maximum number of requests in all queues together.
    """

    name = "waiting-room"

    def __init__(self, *, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._queues: dict[str, WaitQueue] = {}
        self._entries: dict[str, dict[Ticket, _Entry]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def count(self, priority: Priority) -> int:
        """Return the number of queued requests of a priority class."""
        return sum(queue.count(priority) for queue in self._queues.values())

    def must_queue(self, queue_name: str, priority: Priority) -> bool:
        """Return whether a new request has to queue behind others of its class or a higher one."""
        queue = self._queues.get(queue_name)
        return queue is not None and queue.must_queue(priority)

    def enqueue(
        self, queue_name: str, *, team: str, weight: float, priority: Priority
    ) -> Ticket | None:
        """Add a request to a queue.

        When the maximum number of requests are queued, the last request of the team with the most
        queued requests is evicted, so a burst from one team cannot lock out the others.

        :returns: ``None`` if the request was rejected because nothing could be evicted for it.
        """
        queue = self._queues.setdefault(queue_name, WaitQueue())
        if len(self) >= self._max_waiting and not self._evict_from_largest_team(team):
            return None
        ticket = queue.push(team=team, weight=weight, priority=priority)
        fut = asyncio.get_running_loop().create_future()
        self._entries.setdefault(queue_name, {})[ticket] = _Entry(ticket, fut)
        return ticket

    async def wait_turn(self, queue_name: str, ticket: Ticket, *, deadline: float) -> bool:
        """Wait until the request is at the head of its queue and may try again.

        :param deadline: Event loop time in seconds.
        :returns: ``False`` if the deadline passed or the request was evicted.
        """
        loop = asyncio.get_running_loop()
        entry = self._entries.get(queue_name, {}).get(ticket)
        if entry is None:
            return False
        entry.attempting = False
        entry.yielded = False
        if entry.fut.done() and not entry.fut.cancelled() and entry.fut.result():
            entry.fut = loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(entry.fut)
        except TimeoutError:
            return False

    def dequeue(self, queue_name: str, ticket: Ticket, *, served: bool) -> None:
        """Remove a request from its queue.

        :param served: Whether an attempt ended with a result; the next request is then woken at
            once, because the server may have more capacity.
        """
        queue = self._queues.get(queue_name)
        if queue is None:
            return
        self._entries[queue_name].pop(ticket, None)
        if served:
            queue.serve(ticket)
        else:
            queue.remove(ticket)
        if not len(queue):
            del self._queues[queue_name]
            del self._entries[queue_name]
        elif served:
            self.wake(queue_name)

    def yield_turn(self, queue_name: str, ticket: Ticket) -> None:
        """Let the next request try while the attempt of this one is still in progress."""
        entry = self._entries.get(queue_name, {}).get(ticket)
        if entry is not None:
            entry.yielded = True
            self.wake(queue_name)

    def wake(self, queue_name: str) -> None:
        """Let the first request in a queue that has not yielded its turn try again."""
        queue = self._queues.get(queue_name)
        if queue is None:
            return
        head = queue.head(skip=lambda ticket: self._entries[queue_name][ticket].yielded)
        if head is None:
            return
        entry = self._entries[queue_name][head]
        if not entry.attempting and not entry.fut.done():
            entry.attempting = True
            entry.fut.set_result(True)

    async def run(self) -> None:
        """Wake the first request of each queue periodically, until cancelled."""
        while True:
            await asyncio.sleep(WAKE_INTERVAL_S)
            for queue_name in list(self._queues):
                self.wake(queue_name)

    def _evict_from_largest_team(self, team: str) -> bool:
        """Make room for a request of a team by evicting one of the team with the most requests.

        :returns: Whether one was evicted; requests of the same team are not.
        """
        queue_name, (largest, team_size) = max(
            ((queue_name, queue.largest_team()) for queue_name, queue in self._queues.items()),
            key=lambda item: item[1][1],
        )
        if largest == team or team_size <= 1:
            return False
        evicted_ticket = self._queues[queue_name].last_ticket_of(largest)
        if evicted_ticket is None:
            return False
        entry = self._entries[queue_name].pop(evicted_ticket)
        self._queues[queue_name].remove(evicted_ticket)
        if not entry.fut.done():
            entry.fut.set_result(False)
        return True
