"""What a coordinator knows of the shares of its teams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.limits._share_pool import SharePool
from cornellead_core.wire import Shares
from cornellead_core.wire import TeamShare

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.wire import Demand

LEASE_S = 10.0
CONTRIBUTION_S = 5.0
"""Time for which a report lends the router's part; routers with demand report every 2 s."""
IDLE_CONTRIBUTION_S = 20.0
"""The same for a team without demand, which is reported rarely when there are many teams."""


class TeamLimit(NamedTuple):
    """Limits of one team over all routers."""

    requests_per_s: float
    concurrent: float


class ShareBook:
    """Answers demands of routers for the teams that this router coordinates.

    >>> from cornellead_core.wire import Demand, TeamDemand
    >>> book = ShareBook(started_at=0.0)
    >>> demand = Demand("r1", [TeamDemand("a", 5.0, 2)])
    >>> shares = book.answer(demand, limits={"a": TeamLimit(8.0, 4.0)}, routers=2, now=10.0)
    >>> shares.teams[0].requests_per_s
    4.0
    """

    def __init__(self, *, started_at: float) -> None:
        self._settled_at = started_at + LEASE_S
        self._rates: dict[str, SharePool] = {}
        self._slots: dict[str, SharePool] = {}

    def answer(
        self, demand: Demand, *, limits: Mapping[str, TeamLimit], routers: int, now: float
    ) -> Shares:
        """Return leases for the teams that this router coordinates.

        :param limits: Limits of the coordinated teams; other teams get no answer.
        :param routers: Number of routers in the host list.
        :param now: Monotonic seconds.
        """
        shares = []
        for team in demand.teams:
            limit = limits.get(team.team)
            if limit is None:
                continue
            idle = team.requests_per_s <= 0 and team.concurrent <= 0
            lent_s = IDLE_CONTRIBUTION_S if idle else CONTRIBUTION_S
            rate = self._rates.setdefault(team.team, SharePool()).request(
                demand.router,
                demand=team.requests_per_s,
                held=team.held_requests_per_s,
                limit=limit.requests_per_s,
                routers=routers,
                lent_s=lent_s,
                lease_s=LEASE_S,
                settled=now >= self._settled_at,
                now=now,
            )
            slots = self._slots.setdefault(team.team, SharePool(whole=True)).request(
                demand.router,
                demand=team.concurrent,
                held=team.held_concurrent,
                limit=limit.concurrent,
                routers=routers,
                lent_s=lent_s,
                lease_s=LEASE_S,
                settled=now >= self._settled_at,
                now=now,
            )
            shares.append(TeamShare(team.team, rate, slots, LEASE_S))
        return Shares(shares)
