"""Admits requests within the limits of their team."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.errors import ApiError
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.limits import LEASE_S
from cornellead_core.limits import TeamLimit
from cornellead_core.limits import TeamShareState
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.config import TeamPolicy


class TeamGate:
    """Holds this router's share of every team's limits.

    :param name: Name of this router.
    :param started_at: Monotonic seconds at which the process started.
    """

    def __init__(self, *, board: Blackboard, name: str, started_at: float) -> None:
        self._board = board
        self._name = name
        self._floor_from = started_at + LEASE_S
        self._states: dict[str, TeamShareState] = {}

    def enter(self, team: TeamPolicy, *, now: float) -> ApiError | None:
        """Admit a request, or return the error for the caller.

        :param now: Monotonic seconds.
        """
        limit = limit_of(team)
        wait_s = self.state(team.name, now=now).try_admit(
            limit=limit, routers=len(self.routers()), now=now
        )
        if wait_s is None:
            return None
        message = f"team {team.name} is at its limit; send fewer requests or raise the limit"
        return ApiError(429, "team_limit", message, retry_after_s=wait_s)

    def leave(self, team: TeamPolicy) -> None:
        """Count an admitted request as ended."""
        self._states[team.name].finish()

    def ready(self, *, now: float) -> bool:
        """Return whether every team has a share on this router."""
        return all(self.state(team, now=now).usable(now=now) for team in self.limits())

    def state(self, team: str, *, now: float) -> TeamShareState:
        """Return the share of one team."""
        state = self._states.get(team)
        if state is None:
            state = self._states[team] = TeamShareState(now=now, floor_from=self._floor_from)
        return state

    def routers(self) -> dict[str, str]:
        """Return the control addresses of the listed routers, always with this one."""
        found = {
            host.name: host.control
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.ROUTER
        }
        found.setdefault(self._name, "")
        return found

    def limits(self) -> dict[str, TeamLimit]:
        """Return the limits of all teams."""
        teams = self._board.read(CONFIG).teams
        return {name: limit_of(team) for name, team in teams.items()}


def limit_of(team: TeamPolicy) -> TeamLimit:
    """Return the limits of a team over all routers."""
    return TeamLimit(team.requests_per_s, float(team.concurrent_requests))
