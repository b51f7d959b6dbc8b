"""Reports the demand of teams to their coordinators and applies the leases that they grant."""

from __future__ import annotations

import asyncio
import time
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Success

from cornellead_core.facts import CONFIG
from cornellead_core.limits import DELEGATION_S
from cornellead_core.limits import IDLE_DELEGATION_S
from cornellead_core.limits import LEASE_S
from cornellead_core.limits import ShareCoordinator
from cornellead_core.placement import rank_members
from cornellead_core.wire import ShareLeases
from cornellead_core.wire import ShareRequest
from cornellead_core.wire import TeamDemand

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead.limits._team_limiter import TeamLimiter
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution import ControlRequester

REPORT_INTERVAL_S = 2.0
STARTUP_REPORT_INTERVAL_S = 0.5
STARTUP_S = 4.0
"""Time after the start of the process in which reports are more frequent, because the routers may
not all have discovered each other yet."""
IDLE_REPORT_BYTES = 80
"""Size of a report on one team plus the reply."""
IDLE_REPORT_BYTES_PER_S = 1500
"""Traffic for reports on teams without demand: half of the budget for control traffic. With 270
such teams, each is reported every 14.4 s."""
HANDOVER_MARGIN_S = 1.0
"""Added to the wait before a change of coordinator, for the transit time of the last report."""


class _Delegation(NamedTuple):
    """This router's quota of a team's limit, as delegated to a coordinator."""

    coordinator: str
    expires_at: float
    reported_at: float
    idle: bool


class ShareController:
    """Renews the leases of this router, and grants leases for the teams that it coordinates.

    Every router owns an equal quota of each team's limit. It delegates this quota to the team's
    coordinator, which leases the delegated quotas to routers by demand. A router delegates to one
    coordinator at a time: when the coordinator changes, it waits until all leases that the previous
    one may have granted from its quota have expired.

    :param router: Name of this router.
    :param clock: Returns monotonic time in seconds.
    """

    name = "share-controller"

    def __init__(
        self,
        *,
        board: Blackboard,
        team_limiter: TeamLimiter,
        client: ControlRequester,
        router: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._team_limiter = team_limiter
        self._client = client
        self._router = router
        self._clock = clock
        self._started_at = clock()
        self._coordinator = ShareCoordinator(started_at=self._started_at)
        self._delegations: dict[str, _Delegation] = {}

    def grant_leases(self, demand: ShareRequest) -> ShareLeases:
        """Grant leases for the teams that this router coordinates.

        :param demand: Report of any router; teams that another router coordinates are ignored.
        """
        routers = self._team_limiter.routers()
        limits = {
            team: limit
            for team, limit in self._team_limiter.limits().items()
            if coordinator_of(team, routers) == self._router
        }
        return self._coordinator.grant_leases(
            demand, limits=limits, routers=len(routers), now=self._clock()
        )

    async def run(self) -> None:
        """Report demand until cancelled, and at once when the configuration changes."""
        while True:
            revision = self._board.revision(CONFIG)
            await self.report()
            starting_up = self._clock() < self._started_at + STARTUP_S
            interval_s = STARTUP_REPORT_INTERVAL_S if starting_up else REPORT_INTERVAL_S
            await self._board.wait_change(CONFIG, revision=revision, timeout_s=interval_s)

    async def report(self) -> None:
        """Report the demand of all teams whose report is due, and apply the leases received.

        A coordinator that does not reply is asked again in the next round.
        """
        now = self._clock()
        routers = self._team_limiter.routers()
        demands: dict[str, list[TeamDemand]] = {}
        for team in self._team_limiter.limits():
            demand = self._build_demand(team, coordinator_of(team, routers), now)
            if demand is not None:
                demands.setdefault(self._delegations[team].coordinator, []).append(demand)
        await asyncio.gather(
            *(
                self._request_leases(name, routers.get(name, ""), teams, now)
                for name, teams in demands.items()
            )
        )

    def _build_demand(self, team: str, coordinator: str, now: float) -> TeamDemand | None:
        state = self._team_limiter.state(team, now=now)
        delegation = self._delegations.get(team)
        if delegation is not None and delegation.coordinator != coordinator:
            if now < delegation.expires_at + LEASE_S + HANDOVER_MARGIN_S:
                return None
            delegation = None
        rate, concurrent = state.demand(now=now)
        idle = rate <= 0 and concurrent == 0
        if (
            idle
            and delegation is not None
            and delegation.idle
            and now < delegation.reported_at + self._idle_report_interval_s()
        ):
            return None
        delegation_s = IDLE_DELEGATION_S if idle else DELEGATION_S
        expires_at = max(
            now + delegation_s, delegation.expires_at if delegation is not None else 0.0
        )
        self._delegations[team] = _Delegation(coordinator, expires_at, now, idle)
        held_rate, held_concurrent = state.held(now=now)
        return TeamDemand(team, rate, concurrent, held_rate, held_concurrent)

    def _idle_report_interval_s(self) -> float:
        """Return the seconds between two reports on a team without demand."""
        if self._clock() < self._started_at + STARTUP_S:
            return 0.0
        return len(self._team_limiter.limits()) * IDLE_REPORT_BYTES / IDLE_REPORT_BYTES_PER_S

    async def _request_leases(
        self, coordinator: str, address: str, teams: Sequence[TeamDemand], now: float
    ) -> None:
        demand = ShareRequest(self._router, list(teams))
        if coordinator == self._router:
            self._apply_leases(self.grant_leases(demand), now)
            return
        reply = await self._client.request(address, demand)
        if isinstance(reply, Success):
            shares = reply.unwrap()
            if isinstance(shares, ShareLeases):
                self._apply_leases(shares, now)

    def _apply_leases(self, shares: ShareLeases, requested_at: float) -> None:
        for share in shares.teams:
            self._team_limiter.state(share.team, now=requested_at).apply_lease(
                share, requested_at=requested_at
            )


def coordinator_of(team: str, routers: Iterable[str]) -> str:
    """Return the router that coordinates a team: the one with the highest rendezvous rank."""
    return _highest_ranked(team, tuple(sorted(routers)))


# Without the cache, one round of reports computes 90,000 hashes for 330 routers and 270 teams.
@lru_cache(maxsize=1024)
def _highest_ranked(team: str, routers: tuple[str, ...]) -> str:
    return rank_members(f"limits/{team}", routers)[0]
