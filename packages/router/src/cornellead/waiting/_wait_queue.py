"""Priority queue with weighted fair queuing among teams."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.config import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

_RANK_BY_PRIORITY = {Priority.INTERACTIVE: 0, Priority.BATCH: 1}


class Ticket(NamedTuple):
    """Position of a request in the queue; tickets compare in the order in which they are served."""

    rank: int
    """Rank of the priority class; 0 is served first."""
    finish: float
    """Virtual finish time in weighted fair queuing, within the priority class."""
    seq: int
    """Arrival number, which breaks ties."""
    start: float
    """Virtual start time, to which the class advances when the request is served."""
    team: str


class WaitQueue:
    """Serves interactive before batch requests and, within a class, teams by weight.

    A team that sends ten times as many requests gets no larger share while other teams wait.

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
        self._last_finish: dict[tuple[int, str], float] = {}
        self._seq = 0
        self._counts_by_team: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, *, team: str, weight: float, priority: Priority) -> Ticket:
        """Add a request and return its ticket.

        :param weight: Share of the team relative to the other teams.
        """
        rank = _RANK_BY_PRIORITY[priority]
        start = max(self._virtual_time[rank], self._last_finish.get((rank, team), 0.0))
        self._seq += 1
        ticket = Ticket(rank, start + 1.0 / max(weight, 1e-6), self._seq, start, team)
        self._last_finish[rank, team] = ticket.finish
        insort(self._tickets, ticket)
        self._counts_by_team[team] += 1
        return ticket

    def head(self, *, skip: Callable[[Ticket], bool] | None = None) -> Ticket | None:
        """Return the request to serve next without removing it.

        :param skip: Predicate for requests that are left out.
        """
        if skip is None:
            return self._tickets[0] if self._tickets else None
        return next((ticket for ticket in self._tickets if not skip(ticket)), None)

    def serve(self, ticket: Ticket) -> None:
        """Remove a request that was served and advance the virtual time of its class."""
        self._virtual_time[ticket.rank] = max(self._virtual_time[ticket.rank], ticket.start)
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request without serving it; does nothing if it is not queued."""
        index = bisect_left(self._tickets, ticket)
        if index == len(self._tickets) or self._tickets[index] != ticket:
            return
        del self._tickets[index]
        self._counts_by_team[ticket.team] -= 1
        if not self._counts_by_team[ticket.team]:
            del self._counts_by_team[ticket.team]
        if not self._tickets:
            self._last_finish.clear()
            self._virtual_time = [0.0, 0.0]

    def must_queue(self, priority: Priority) -> bool:
        """Return whether a request of this class or a higher one is queued."""
        return bool(self._tickets) and self._tickets[0].rank <= _RANK_BY_PRIORITY[priority]

    def count(self, priority: Priority) -> int:
        """Return the number of queued requests of a priority class."""
        rank = _RANK_BY_PRIORITY[priority]
        return sum(ticket.rank == rank for ticket in self._tickets)

    def largest_team(self) -> tuple[str, int]:
        """Return the team with the most queued requests, and how many it has."""
        if not self._counts_by_team:
            return "", 0
        team, size = self._counts_by_team.most_common(1)[0]
        return team, size

    def last_ticket_of(self, team: str) -> Ticket | None:
        """Return the request of a team that would be served last."""
        return next((t for t in reversed(self._tickets) if t.team == team), None)
