"""Reports demand to the coordinators of teams and takes their leases."""

from __future__ import annotations

import asyncio
import time
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Success

from cornellead_core.facts import CONFIG
from cornellead_core.limits import CONTRIBUTION_S
from cornellead_core.limits import IDLE_CONTRIBUTION_S
from cornellead_core.limits import LEASE_S
from cornellead_core.limits import ShareBook
from cornellead_core.placement import rank_members
from cornellead_core.wire import Demand
from cornellead_core.wire import Shares
from cornellead_core.wire import TeamDemand

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead.limits._team_gate import TeamGate
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution import ControlRequester

REPORT_INTERVAL_S = 2.0
START_INTERVAL_S = 0.5
START_S = 4.0
"""Time after the start in which reports are more frequent, until all routers know each other."""
IDLE_REPORT_BYTES = 80
"""Size of a report on one team and its answer."""
IDLE_BYTES_PER_S = 1500
"""Half of the control budget; 270 teams without demand are reported every 14.4 s."""
HANDOVER_MARGIN_S = 1.0
"""For the time that a report takes to reach its coordinator."""


class _Lent(NamedTuple):
    coordinator: str
    until: float
    reported_at: float
    idle: bool


class ShareController:
    """Keeps the leases of this router and those that it coordinates.

    A router lends its part of a limit to one coordinator at a time: after a change of coordinator
    it waits until everything that the former one leased out has lapsed.

    :param clock: Monotonic seconds.
    """

    name = "share-controller"

    def __init__(
        self,
        *,
        board: Blackboard,
        gate: TeamGate,
        client: ControlRequester,
        router: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._gate = gate
        self._client = client
        self._router = router
        self._clock = clock
        self._started_at = clock()
        self._book = ShareBook(started_at=self._started_at)
        self._lent: dict[str, _Lent] = {}

    def answer(self, demand: Demand) -> Shares:
        """Lease shares of the teams that this router coordinates."""
        routers = self._gate.routers()
        limits = {
            team: limit
            for team, limit in self._gate.limits().items()
            if coordinator_of(team, routers) == self._router
        }
        return self._book.answer(demand, limits=limits, routers=len(routers), now=self._clock())

    async def run(self) -> None:
        """Report demand until cancelled."""
        while True:
            revision = self._board.revision(CONFIG)
            await self.report()
            starting = self._clock() < self._started_at + START_S
            interval_s = START_INTERVAL_S if starting else REPORT_INTERVAL_S
            await self._board.wait_change(CONFIG, revision=revision, timeout_s=interval_s)

    async def report(self) -> None:
        """Report the demand of all teams that are due, and take the answers."""
        now = self._clock()
        routers = self._gate.routers()
        due: dict[str, list[TeamDemand]] = {}
        for team in self._gate.limits():
            demand = self._due(team, coordinator_of(team, routers), now)
            if demand is not None:
                due.setdefault(self._lent[team].coordinator, []).append(demand)
        await asyncio.gather(
            *(self._ask(name, routers.get(name, ""), teams, now) for name, teams in due.items())
        )

    def _due(self, team: str, coordinator: str, now: float) -> TeamDemand | None:
        state = self._gate.state(team, now=now)
        lent = self._lent.get(team)
        if lent is not None and lent.coordinator != coordinator:
            if now < lent.until + LEASE_S + HANDOVER_MARGIN_S:
                return None
            lent = None
        rate, concurrent = state.demand(now=now)
        idle = rate <= 0 and concurrent == 0
        if (
            idle
            and lent is not None
            and lent.idle
            and now < lent.reported_at + self._idle_interval()
        ):
            return None
        lent_s = IDLE_CONTRIBUTION_S if idle else CONTRIBUTION_S
        until = max(now + lent_s, lent.until if lent is not None else 0.0)
        self._lent[team] = _Lent(coordinator, until, now, idle)
        held_rate, held_concurrent = state.held(now=now)
        return TeamDemand(team, rate, concurrent, held_rate, held_concurrent)

    def _idle_interval(self) -> float:
        """Return the time between reports on a team without demand, in seconds."""
        if self._clock() < self._started_at + START_S:
            return 0.0
        return len(self._gate.limits()) * IDLE_REPORT_BYTES / IDLE_BYTES_PER_S

    async def _ask(
        self, coordinator: str, address: str, teams: Sequence[TeamDemand], now: float
    ) -> None:
        demand = Demand(self._router, list(teams))
        if coordinator == self._router:
            self._take(self.answer(demand), now)
            return
        answer = await self._client.request(address, demand)
        if isinstance(answer, Success):
            shares = answer.unwrap()
            if isinstance(shares, Shares):
                self._take(shares, now)

    def _take(self, shares: Shares, asked_at: float) -> None:
        for share in shares.teams:
            self._gate.state(share.team, now=asked_at).take_lease(share, asked_at=asked_at)


def coordinator_of(team: str, routers: Iterable[str]) -> str:
    """Return the router that coordinates a team: the first by rendezvous rank."""
    return _first_by_rank(team, tuple(sorted(routers)))


# At 330 routers and 270 teams the ranks of one report round cost 90,000 hashes.
@lru_cache(maxsize=1024)
def _first_by_rank(team: str, routers: tuple[str, ...]) -> str:
    return rank_members(f"limits/{team}", routers)[0]
