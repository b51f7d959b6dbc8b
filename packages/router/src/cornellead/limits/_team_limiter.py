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


class TeamLimiter:
    """Admits requests within this router's shares of the team limits.

    :param name: Name of this router.
    :param started_at: Monotonic time, in seconds, at which the process started.
    """

    def __init__(self, *, board: Blackboard, name: str, started_at: float) -> None:
        self._board = board
        self._name = name
        self._floor_available_at = started_at + LEASE_S
        self._states: dict[str, TeamShareState] = {}

    def admit(self, team: TeamPolicy, *, now: float) -> ApiError | None:
        """Count a request of a team against its limits.

        :param now: Monotonic time in seconds.
        :returns: ``None`` if the request is admitted, otherwise the error for the caller.
        """
        limit = limit_of(team)
        wait_s = self.state(team.name, now=now).try_admit(
            limit=limit, routers=len(self.routers()), now=now
        )
        if wait_s is None:
            return None
        message = f"team {team.name} is at its limit; send fewer requests or raise the limit"
        return ApiError(429, "team_limit", message, retry_after_s=wait_s)

    def release(self, team: TeamPolicy) -> None:
        """Record that an admitted request ended."""
        self._states[team.name].finish()

    def ready(self, *, now: float) -> bool:
        """Return whether this router has a usable share of every team's limits."""
        return all(self.state(team, now=now).can_admit(now=now) for team in self.limits())

    def state(self, team: str, *, now: float) -> TeamShareState:
        """Return this router's share of a team's limits, creating its state on first use."""
        state = self._states.get(team)
        if state is None:
            state = self._states[team] = TeamShareState(
                now=now, floor_available_at=self._floor_available_at
            )
        return state

    def routers(self) -> dict[str, str]:
        """Return the control addresses of all routers by name.

        This router is included even if the host list lacks it, with an empty address.
        """
        addresses = {
            host.name: host.control
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.ROUTER
        }
        addresses.setdefault(self._name, "")
        return addresses

    def limits(self) -> dict[str, TeamLimit]:
        """Return the limits of all teams by name, for all routers together."""
        teams = self._board.read(CONFIG).teams
        return {name: limit_of(team) for name, team in teams.items()}


def limit_of(team: TeamPolicy) -> TeamLimit:
    """Return the limits of a team for all routers together."""
    return TeamLimit(team.requests_per_s, float(team.concurrent_requests))
