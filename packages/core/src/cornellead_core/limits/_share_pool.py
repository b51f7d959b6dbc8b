"""Division of one limit among routers by demand."""

from __future__ import annotations

import math
from typing import NamedTuple

FLOOR_DIVISOR = 4
"""A router may use 1 / (4 n) of a limit without a lease."""


def floor_share(limit: float, routers: int) -> float:
    """Return the part of a limit that a router may use without a lease.

    >>> floor_share(100.0, 5)
    5.0
    """
    return limit / (FLOOR_DIVISOR * max(1, routers))


class _Member(NamedTuple):
    demand: float
    lent_until: float


class _Lease(NamedTuple):
    amount: float
    until: float


class SharePool:
    """Leases of one limit, as its coordinator keeps them.

    Every router owns an equal part of the limit and lends it to the coordinator by reporting. The
    coordinator leases out only what was lent to it, so two coordinators with different views of the
    routers never lease out the same part: a router lends its part to one of them at a time.

    :param whole: Lease whole units, for limits on concurrent requests.
    """

    def __init__(self, *, whole: bool = False) -> None:
        self._whole = whole
        self._members: dict[str, _Member] = {}
        self._leases: dict[str, list[_Lease]] = {}

    def request(
        self,
        router: str,
        *,
        demand: float,
        held: float,
        limit: float,
        routers: int,
        lent_s: float,
        lease_s: float,
        settled: bool,
        now: float,
    ) -> float:
        """Take a router's report and return its share.

        :param held: Share that the router uses at present.
        :param routers: Number of routers in the coordinator's view.
        :param settled: Whether leases of an earlier coordinator process can no longer be in use
            unnoticed; until then no share rises.
        :param lent_s: Time for which the router lends its part.
        :param now: Monotonic seconds.
        """
        self._expire(now)
        self._members[router] = _Member(demand, now + lent_s)
        count = max(routers, len(self._members))
        floor = floor_share(limit, count)
        # A share granted earlier is in use only if the router says so; a lost answer never is.
        known = max((lease.until for lease in self._leases.get(router, ())), default=now + lease_s)
        self._leases[router] = [_Lease(held, known)] if held > 0 else []
        part = limit / count
        pool = part * len(self._members)
        free = pool - sum(self._used(member, floor) for member in self._members if member != router)
        # A router that no longer lends still covers its last lease with its own part.
        free -= sum(
            max(0.0, self._used(other, 0.0) - part)
            for other in self._leases
            if other not in self._members
        )
        # The floor is free: it was kept back from all earlier leases, or the part is new.
        share = max(floor, min(self._fair(router, pool, floor), free))
        if self._whole:
            share = max(float(math.floor(share)), min(1.0, free) if demand > 0 else 0.0, floor)
        if not settled and len(self._members) < routers:
            share = min(share, max(held, floor))
        self._leases[router].append(_Lease(share, now + lease_s))
        return share

    def leased(self, *, now: float) -> float:
        """Return the sum of the shares that routers may be using by lease."""
        self._expire(now)
        return sum(self._used(router, 0.0) for router in self._leases)

    def _fair(self, router: str, pool: float, floor: float) -> float:
        total = sum(member.demand for member in self._members.values())
        spare = pool - floor * len(self._members)
        if total <= 0:
            return floor + spare / len(self._members)
        return floor + spare * self._members[router].demand / total

    def _used(self, router: str, floor: float) -> float:
        return max([floor, *(lease.amount for lease in self._leases.get(router, ()))])

    def _expire(self, now: float) -> None:
        self._members = {
            name: member for name, member in self._members.items() if member.lent_until > now
        }
        leases = {
            name: [lease for lease in held if lease.until > now]
            for name, held in self._leases.items()
        }
        self._leases = {name: held for name, held in leases.items() if held}
