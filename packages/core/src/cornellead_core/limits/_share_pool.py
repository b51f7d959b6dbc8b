"""Divides one limit among the routers in proportion to demand."""

from __future__ import annotations

import math
from typing import NamedTuple

FLOOR_DIVISOR = 4
"""Each of n routers may use 1 / (4 n) of a limit without a lease."""


def floor_share(limit: float, routers: int) -> float:
    """Return the share of a limit that a router may use without a lease.

    >>> floor_share(100.0, 5)
    5.0
    """
    return limit / (FLOOR_DIVISOR * max(1, routers))


class _Delegation(NamedTuple):
    demand: float
    expires_at: float


class _Lease(NamedTuple):
    amount: float
    expires_at: float


class SharePool:
    """Leases that a coordinator has granted on one limit.

    Every router owns an equal quota of the limit. Its demand reports delegate the quota to the
    coordinator for a limited time, to one coordinator at a time. A coordinator grants leases only
    on delegated quota, so two coordinators that see different sets of routers never grant the same
    quota twice.

    :param whole_units: Round leases down to whole units, for limits on concurrent requests.
    """

    def __init__(self, *, whole_units: bool = False) -> None:
        self._whole_units = whole_units
        self._delegations: dict[str, _Delegation] = {}
        self._leases: dict[str, list[_Lease]] = {}

    def request(
        self,
        router: str,
        *,
        demand: float,
        held: float,
        limit: float,
        routers: int,
        delegation_s: float,
        lease_s: float,
        recovered: bool,
        now: float,
    ) -> float:
        """Record a router's demand report and return the share leased to it.

        :param held: Leased share that the router currently uses.
        :param routers: Number of routers in the coordinator's host list.
        :param delegation_s: Time for which the report delegates the router's quota.
        :param recovered: Whether all leases granted before a restart of the coordinator have
            expired. Until then, shares do not grow unless every router has reported.
        :param now: Monotonic seconds.
        """
        self._expire(now)
        self._delegations[router] = _Delegation(demand, now + delegation_s)
        count = max(routers, len(self._delegations))
        floor = floor_share(limit, count)
        # An earlier lease counts only if the router reports that it uses it. Otherwise the response
        # that granted it was lost.
        earlier_expiry = max(
            (lease.expires_at for lease in self._leases.get(router, ())), default=now + lease_s
        )
        self._leases[router] = [_Lease(held, earlier_expiry)] if held > 0 else []
        quota = limit / count
        delegated = quota * len(self._delegations)
        available = delegated - sum(
            self._max_leased(name, floor) for name in self._delegations if name != router
        )
        # The last lease of a router whose delegation has expired uses that router's own quota
        # first; only the excess reduces the delegated quota.
        available -= sum(
            max(0.0, self._max_leased(other, 0.0) - quota)
            for other in self._leases
            if other not in self._delegations
        )
        # The floor is always available: all earlier leases left this router's floor unallocated, or
        # its quota was not delegated before.
        share = max(floor, min(self._proportional_share(router, delegated, floor), available))
        if self._whole_units:
            share = max(float(math.floor(share)), min(1.0, available) if demand > 0 else 0.0, floor)
        if not recovered and len(self._delegations) < routers:
            share = min(share, max(held, floor))
        self._leases[router].append(_Lease(share, now + lease_s))
        return share

    def leased(self, *, now: float) -> float:
        """Return the total of the leased shares that may be in use."""
        self._expire(now)
        return sum(self._max_leased(router, 0.0) for router in self._leases)

    def _proportional_share(self, router: str, delegated: float, floor: float) -> float:
        total = sum(delegation.demand for delegation in self._delegations.values())
        surplus = delegated - floor * len(self._delegations)
        if total <= 0:
            return floor + surplus / len(self._delegations)
        return floor + surplus * self._delegations[router].demand / total

    def _max_leased(self, router: str, floor: float) -> float:
        return max([floor, *(lease.amount for lease in self._leases.get(router, ()))])

    def _expire(self, now: float) -> None:
        self._delegations = {
            name: delegation
            for name, delegation in self._delegations.items()
            if delegation.expires_at > now
        }
        leases = {
            name: [lease for lease in held if lease.expires_at > now]
            for name, held in self._leases.items()
        }
        self._leases = {name: held for name, held in leases.items() if held}
