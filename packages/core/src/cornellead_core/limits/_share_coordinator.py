"""Coordinator that leases shares of team limits to routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.limits._share_pool import SharePool
from cornellead_core.wire import ShareLeases
from cornellead_core.wire import TeamShare

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.wire import ShareRequest

LEASE_S = 10.0
DELEGATION_S = 5.0
"""How long a report delegates the router's quota; routers with demand report every 2 s."""
IDLE_DELEGATION_S = 20.0
"""Delegation time for idle teams, which routers report less often when there are many teams."""


class TeamLimit(NamedTuple):
    """Limits of one team across all routers."""

    requests_per_s: float
    concurrent: float


class ShareCoordinator:
    """Grants leases to routers for the teams that this router coordinates.

    Keeps a pool of the request rate and a pool of the concurrent requests for each team.

    >>> from cornellead_core.wire import ShareRequest, TeamDemand
    >>> coordinator = ShareCoordinator(started_at=0.0)
    >>> demand = ShareRequest("r1", [TeamDemand("a", 5.0, 2)])
    >>> limits = {"a": TeamLimit(8.0, 4.0)}
    >>> shares = coordinator.grant_leases(demand, limits=limits, routers=2, now=10.0)
    >>> shares.teams[0].requests_per_s
    4.0
    """

    def __init__(self, *, started_at: float) -> None:
        self._recovered_at = started_at + LEASE_S
        self._rate_pools: dict[str, SharePool] = {}
        self._concurrency_pools: dict[str, SharePool] = {}

    def grant_leases(
        self, demand: ShareRequest, *, limits: Mapping[str, TeamLimit], routers: int, now: float
    ) -> ShareLeases:
        """Process a demand report and return the resulting leases.

        :param limits: Limits of the coordinated teams; the response leaves out other teams.
        :param routers: Number of routers in the host list.
        :param now: Monotonic seconds.
        """
        shares = []
        for team in demand.teams:
            limit = limits.get(team.team)
            if limit is None:
                continue
            is_idle = team.requests_per_s <= 0 and team.concurrent <= 0
            delegation_s = IDLE_DELEGATION_S if is_idle else DELEGATION_S
            rate_share = self._rate_pools.setdefault(team.team, SharePool()).request(
                demand.router,
                demand=team.requests_per_s,
                held=team.held_requests_per_s,
                limit=limit.requests_per_s,
                routers=routers,
                delegation_s=delegation_s,
                lease_s=LEASE_S,
                recovered=now >= self._recovered_at,
                now=now,
            )
            concurrent_share = self._concurrency_pools.setdefault(
                team.team, SharePool(whole_units=True)
            ).request(
                demand.router,
                demand=team.concurrent,
                held=team.held_concurrent,
                limit=limit.concurrent,
                routers=routers,
                delegation_s=delegation_s,
                lease_s=LEASE_S,
                recovered=now >= self._recovered_at,
                now=now,
            )
            shares.append(TeamShare(team.team, rate_share, concurrent_share, LEASE_S))
        return ShareLeases(shares)
