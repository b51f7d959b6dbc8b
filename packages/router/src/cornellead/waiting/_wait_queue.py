"""Priority queue with weighted fair queuing over teams."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.config import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

_RANKS = {Priority.INTERACTIVE: 0, Priority.BATCH: 1}


class Ticket(NamedTuple):
    """Position of a request in the queue; smaller tickets are served first."""

    rank: int
    finish: float
    """Virtual finish time of the request within its class."""
    seq: int
    start: float
    team: str


class WaitQueue:
    """Serves interactive before batch requests and, within a class, teams by their weights.

    A team that sends ten times as many requests gets no larger share while others wait.

    >>> queue = WaitQueue()
    >>> tickets = [queue.push(team="a", weight=1.0, priority=Priority.BATCH) for _ in range(2)]
    >>> tickets += [queue.push(team="b", weight=1.0, priority=Priority.BATCH)]
    >>> tickets += [queue.push(team="a", weight=1.0, priority=Priority.INTERACTIVE)]
    >>> order = []
    >>> while (head := queue.head()) is not None:
    ...     order.append(tickets.index(head))
    ...     queue.serve(head)
    >>> order
    [3, 0, 2, 1]
    """

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._virtual_time = [0.0, 0.0]
        self._finish: dict[tuple[int, str], float] = {}
        self._seq = 0
        self._by_team: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, *, team: str, weight: float, priority: Priority) -> Ticket:
        """Add a request."""
        rank = _RANKS[priority]
        start = max(self._virtual_time[rank], self._finish.get((rank, team), 0.0))
        self._seq += 1
        ticket = Ticket(rank, start + 1.0 / max(weight, 1e-6), self._seq, start, team)
        self._finish[rank, team] = ticket.finish
        insort(self._tickets, ticket)
        self._by_team[team] += 1
        return ticket

    def head(self, *, skip: Callable[[Ticket], bool] | None = None) -> Ticket | None:
        """Return the request to serve next.

        :param skip: Tells which requests to pass over.
        """
        if skip is None:
            return self._tickets[0] if self._tickets else None
        return next((ticket for ticket in self._tickets if not skip(ticket)), None)

    def serve(self, ticket: Ticket) -> None:
        """Remove a request that got its turn."""
        self._virtual_time[ticket.rank] = max(self._virtual_time[ticket.rank], ticket.start)
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits."""
        index = bisect_left(self._tickets, ticket)
        if index == len(self._tickets) or self._tickets[index] != ticket:
            return
        del self._tickets[index]
        self._by_team[ticket.team] -= 1
        if not self._by_team[ticket.team]:
            del self._by_team[ticket.team]
        if not self._tickets:
            self._finish.clear()
            self._virtual_time = [0.0, 0.0]

    def waits_before(self, priority: Priority) -> bool:
        """Return whether a request waits that a new one of this class must not overtake."""
        return bool(self._tickets) and self._tickets[0].rank <= _RANKS[priority]

    def count(self, priority: Priority) -> int:
        """Number of waiting requests of a class."""
        rank = _RANKS[priority]
        return sum(ticket.rank == rank for ticket in self._tickets)

    def largest_team(self) -> tuple[str, int]:
        """Return the team with the most waiting requests, and their number."""
        if not self._by_team:
            return "", 0
        team, number = self._by_team.most_common(1)[0]
        return team, number

    def last_of(self, team: str) -> Ticket | None:
        """Return the request of a team that would be served last."""
        return next((t for t in reversed(self._tickets) if t.team == team), None)
