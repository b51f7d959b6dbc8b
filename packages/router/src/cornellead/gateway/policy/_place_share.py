"""Places at the servers of a service, and the part of them that one router may use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

MIN_BACKLOG = 1.0
"""Requests that may wait at a server, at least. Without any, a slot is idle from the end of a
request until a router has heard of it and its next request has arrived."""


class ServerLoad(NamedTuple):
    """Load of one server as a router knows it."""

    load: float
    """Requests that run and wait there."""
    slots: int
    backlog: float = MIN_BACKLOG
    """Requests that may wait there."""


class Places(NamedTuple):
    """Places of all servers together."""

    idle: float
    """Slots without a request."""
    total: float
    """The same with the places in the servers' queues that keep their slots busy."""


def count_places(servers: Iterable[ServerLoad]) -> Places:
    """Return the places that are free.

    >>> count_places([ServerLoad(5, 6), ServerLoad(7, 6), ServerLoad(30, 6)])
    Places(idle=1.0, total=2.0)
    """
    idle = total = 0.0
    for server in servers:
        idle += max(0.0, server.slots - server.load)
        total += max(0.0, server.slots + server.backlog - server.load)
    return Places(idle, total)


def mostly_idle(servers: Sequence[ServerLoad]) -> bool:
    """Return whether nothing waits at the servers and under half of their slots are in use.

    >>> mostly_idle([ServerLoad(5, 6), ServerLoad(0, 6)])
    True
    >>> mostly_idle([ServerLoad(7, 6), ServerLoad(0, 6)]), mostly_idle([])
    (False, False)
    """
    in_use = sum(server.load for server in servers)
    waiting = any(server.load > server.slots for server in servers)
    return not waiting and 2 * in_use < sum(server.slots for server in servers)


def share_places(places: Places, own: Mapping[int, int], others: Mapping[int, float]) -> float:
    """Return how many of the free places this router may use.

    The most urgent requests of all routers come first, and requests of the same urgency have equal
    parts, whichever router holds them. Idle slots are shared regardless of urgency, so that none
    stays idle when the reports of other routers are out of date.

    :param own: What this router holds, by urgency.
    :param others: What other routers hold, by urgency.

    >>> share_places(Places(2.0, 4.0), {0: 1, 2: 5}, {0: 1.0, 2: 5.0})
    2.0
    >>> share_places(Places(0.0, 2.0), {2: 5}, {0: 9.0})
    0.0
    """
    held, elsewhere = sum(own.values()), sum(others.values())
    if not held:
        return 0.0
    left, part = places.total, 0.0
    for urgency in sorted({*own, *others}):
        mine = own.get(urgency, 0)
        everyone = mine + others.get(urgency, 0.0)
        if everyone <= 0:
            continue
        used = min(left, everyone)
        part += used * mine / everyone
        left -= used
    return max(part, min(held, places.idle * held / (held + elsewhere)))
